/**
 * The decision module: {@link merlinlever.policy.Control} is its face, each class behind it decides one
 * thing. {@code Admission}: what arrives is held or pushed back. {@code Repeats}: what is kept, what
 * becomes of a repeat. {@code Starts}: which held operation is begun. {@code Calls}: how many calls are
 * out. {@code Limit}: this server's share of a limit of the fleet. {@code Endings}: how an operation ends,
 * and when it is too late. {@code Capacity}, {@code RunTimes}: what the server can do and how long a run
 * takes. {@code Mode}: hanging, leaving, coming back. {@code Level}: what callers are told unasked.
 * {@code Server}, {@code Op} and {@code Tariff} hold what these share and decide nothing.
 */
package merlinlever.policy;
