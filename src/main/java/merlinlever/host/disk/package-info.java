/** The state of the host agent on disk: which instances are desired and which processes they have. Used on the loop thread. */
package merlinlever.host.disk;
