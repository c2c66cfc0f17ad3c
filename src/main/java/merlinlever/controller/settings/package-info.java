/** Settings of an overload controller: their parser, their defaults and their allowed ranges. */
package merlinlever.controller.settings;
