package merlinlever.backend;

/** The parts of a backend that each follow one aspect of its requests; events and decisions both go through them. */
record RequestComponents(
        IdempotencyCache idempotencyCache,
        ResponseTracker responses,
        DownstreamCallTracker downstreamCalls,
        InDoubtCommands commands,
        RunQueueCorrection runQueue) {}
