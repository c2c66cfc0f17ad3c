/**
 * Partner sites that take calls for each other: tables of routes ({@link merlinlever.routes.Table}), what of them may be used and
 * passed on ({@link merlinlever.routes.Rules}), what follows from all of them ({@link merlinlever.routes.Merge}), how long each
 * holds ({@link merlinlever.routes.Partner}) and which way a call goes ({@link merlinlever.routes.Exits}). Decisions alone.
 */
package merlinlever.routes;
