package merlinlever.backend;

/** The components of a backend that each track one aspect of its requests, shared by event and decision handling. */
record RequestComponents(
        IdempotencyCache idempotencyCache,
        ResponseTracker responses,
        DownstreamCallTracker downstreamCalls,
        InDoubtCommands commands,
        RunQueueCorrection runQueue) {}
