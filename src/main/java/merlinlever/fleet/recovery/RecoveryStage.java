package merlinlever.fleet.recovery;

import merlinlever.common.WireNamed;

/** How far a process has come in taking up service again after its start. The stages are passed in this order, never back. */
public enum RecoveryStage implements WireNamed {
    /** No peer has been heard from yet. Only idempotent requests are admitted. */
    COLD("cold"),
    /** Membership knows peers that are alive; their reports are awaited. */
    REJOINED("rejoined"),
    /** Enough peers have reported. Non-idempotent requests are admitted as soon as no earlier duplicate can arrive. */
    RECONCILED("reconciled"),
    /** At full speed, with all kinds of requests admitted. */
    WARM("warm");

    private final String wireName;

    RecoveryStage(String wireName) {
        this.wireName = wireName;
    }

    /** The name in datagrams, in JSON and in the log. */
    @Override
    public String wireName() {
        return wireName;
    }
}
