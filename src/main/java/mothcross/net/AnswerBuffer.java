package mothcross.net;

import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/**
 * The body of a node's answer while it is received. Memory is allocated in chunks as the bytes arrive, within a budget.
 * The first chunk leaves room for the head of the client's response, so that both go out in one write.
 */
final class AnswerBuffer {
    static final int HEAD_ROOM_BYTES = 320;
    private static final int CHUNK_BYTES = 48 << 10;

    private final MemoryBudget budget;
    private final int length;
    private final List<IoBuffer> chunks = new ArrayList<>(1);
    private int receivedBytes;
    private int allocatedBytes;

    AnswerBuffer(MemoryBudget budget, int length) {
        this.budget = budget;
        this.length = length;
    }

    /** The length of the whole body. */
    int length() {
        return length;
    }

    /** Appends received bytes; false where the budget has no memory left for them. */
    boolean append(byte[] source, int from, int count) {
        int position = from;
        int end = from + count;
        while (position < end) {
            if (receivedBytes == allocatedBytes && !allocate()) return false;
            int copied = Math.min(end - position, allocatedBytes - receivedBytes);
            chunks.get(chunks.size() - 1).put(source, position, copied);
            position += copied;
            receivedBytes += copied;
        }
        return true;
    }

    private boolean allocate() {
        int size = Math.min(CHUNK_BYTES, length - allocatedBytes);
        if (!budget.tryTake(size)) return false;
        allocatedBytes += size;
        addChunk(size);
        return true;
    }

    private void addChunk(int size) {
        int headRoom = chunks.isEmpty() ? HEAD_ROOM_BYTES : 0;
        IoBuffer chunk = IoBuffer.allocate(headRoom + size);
        chunk.position(headRoom);
        chunks.add(chunk);
    }

    /** Writes the head and, unless {@code headOnly}, the body; returns the future of the last write. */
    WriteFuture write(IoSession session, byte[] head, boolean headOnly) {
        if (chunks.isEmpty()) addChunk(0);
        IoBuffer first = chunks.get(0);
        int start = HEAD_ROOM_BYTES - head.length;
        int end = headOnly ? HEAD_ROOM_BYTES : first.position();
        first.position(start);
        first.put(head);
        first.limit(end).position(start);
        WriteFuture last = session.write(first);
        for (int i = 1; i < chunks.size() && !headOnly; i++) last = session.write(chunks.get(i).flip());
        return last;
    }

    /** Gives the memory back to the budget; the session's queue counts what is still to be sent. */
    void release() {
        budget.add(-allocatedBytes);
        allocatedBytes = 0;
        chunks.clear();
    }
}
