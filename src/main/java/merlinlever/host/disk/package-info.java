/**
 * State of the host agent on disk: the desired state and the process of each instance. Used on the loop thread only.
 */
package merlinlever.host.disk;
