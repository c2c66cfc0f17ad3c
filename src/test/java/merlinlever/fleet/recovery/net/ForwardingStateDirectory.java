package merlinlever.fleet.recovery.net;

import java.io.IOException;
import java.util.List;
import merlinlever.common.storage.StateDirectory;

/** Forwards all operations to another state directory; tests override single operations. */
class ForwardingStateDirectory implements StateDirectory {

    private final StateDirectory inner;

    ForwardingStateDirectory(StateDirectory inner) {
        this.inner = inner;
    }

    @Override
    public List<String> fileNames() throws IOException {
        return inner.fileNames();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return inner.read(name);
    }

    @Override
    public AppendableFile openForAppend(String name) throws IOException {
        return inner.openForAppend(name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        inner.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        inner.delete(name);
    }

    @Override
    public void sync() throws IOException {
        inner.sync();
    }

    @Override
    public void close() throws IOException {
        inner.close();
    }
}
