/** What operators configure of an overload controller: its settings, their defaults and their allowed ranges. */
package merlinlever.controller.settings;
