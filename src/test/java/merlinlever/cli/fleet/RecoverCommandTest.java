package merlinlever.cli.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import merlinlever.cli.Commands;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.fleet.recovery.PersistedState;
import merlinlever.fleet.recovery.disk.RecoveryFile;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.testing.faults.TestDirectories;
import org.junit.jupiter.api.Test;

class RecoverCommandTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int recover(String... options) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        String[] arguments = new String[options.length + 2];
        arguments[0] = "fleet";
        arguments[1] = "recover";
        System.arraycopy(options, 0, arguments, 2, options.length);
        return Commands.start(new PrintWriter(out, true), new PrintWriter(err, true), arguments);
    }

    @Test
    void reportsKeptAndDiscardedStateOfEachFolderWithReasons() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-recover");
        try {
            Path good = root.resolve("good");
            try (FileStateDirectory folder = new FileStateDirectory(good)) {
                new RecoveryFile(folder)
                        .write(new PersistedState(
                                "b-1@127.0.0.1:1",
                                64,
                                3,
                                System.currentTimeMillis(),
                                System.currentTimeMillis() - 1000,
                                12.5,
                                List.of()));
                InstanceLedger ledger = new InstanceLedger(folder);
                ledger.update("i-1", new InstanceLedger.InstanceRecord(true, "t", 1, 1));
            }
            assertEquals(0, recover("--state", good.toString()), err::toString);
            assertTrue(
                    out.toString()
                            .contains("  incarnation: kept, up to 64 may have been sent to peers, continues at 65\n"),
                    out.toString());
            assertTrue(out.toString().contains("  capacity: aged, 12.5 requests, "), out.toString());
            assertTrue(out.toString().contains("  instances: kept, 1 recorded;"), out.toString());
            assertEquals(1, recover("--state", good.toString(), "--owner", "b-2@127.0.0.1:2"));
            assertTrue(
                    out.toString()
                            .contains("  keyed work: thrown away, "
                                    + "the state belongs to b-1@127.0.0.1:1, not to b-2@127.0.0.1:2"),
                    out.toString());
            Path corrupt = root.resolve("spoilt");
            Files.createDirectories(corrupt);
            Files.writeString(corrupt.resolve(RecoveryFile.FILE_NAME), "0000");
            Path locked = root.resolve("held");
            try (FileStateDirectory folder = new FileStateDirectory(locked)) {
                assertEquals(List.of(), folder.fileNames());
                assertEquals(
                        1,
                        recover(
                                "--state",
                                corrupt.toString(),
                                locked.toString(),
                                root.resolve("none").toString()));
            }
            assertTrue(out.toString().contains("  incarnation: thrown away, corrupt: "), out.toString());
            assertTrue(
                    err.toString().contains("held: the state folder ")
                            && err.toString()
                                    .contains("a running process reported its recovered state when it started"),
                    err.toString());
            assertTrue(err.toString().contains("none: no such folder"), err.toString());
            assertEquals(2, recover());
            assertEquals(2, recover("--state", good.toString(), "--owner", "nobody"));
        } finally {
            TestDirectories.remove(root);
        }
    }
}
