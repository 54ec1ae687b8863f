package slipfield.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;

/** A file on a disk that may fail: tests override the methods that are to fail, all others use the real file. */
abstract class FailingChannel extends FileChannel {
    private final FileChannel disk;

    FailingChannel(FileChannel disk) {
        this.disk = disk;
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) throws IOException {
        throw new IOException("the journal writes one buffer at a time");
    }

    @Override
    public int write(ByteBuffer from, long position) throws IOException {
        throw new IOException("the journal only appends");
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        return disk.read(to);
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) throws IOException {
        return disk.read(to, offset, length);
    }

    @Override
    public int read(ByteBuffer to, long position) throws IOException {
        return disk.read(to, position);
    }

    @Override
    public long position() throws IOException {
        return disk.position();
    }

    @Override
    public FileChannel position(long position) throws IOException {
        disk.position(position);
        return this;
    }

    @Override
    public long size() throws IOException {
        return disk.size();
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        disk.truncate(size);
        return this;
    }

    @Override
    public void force(boolean metaData) throws IOException {
        disk.force(metaData);
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel to) throws IOException {
        return disk.transferTo(position, count, to);
    }

    @Override
    public long transferFrom(ReadableByteChannel from, long position, long count) throws IOException {
        return disk.transferFrom(from, position, count);
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
        return disk.map(mode, position, size);
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) throws IOException {
        return disk.lock(position, size, shared);
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        return disk.tryLock(position, size, shared);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        disk.close();
    }
}
