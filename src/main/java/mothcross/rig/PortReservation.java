package mothcross.rig;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports of loopback for processes that are started later, and again on the same one. Owns blocks below those that the
 * system hands out by itself, each held by a listener on its first port for as long as this process runs, so that
 * neither another rig nor anybody's port 0 takes one between the choice and the start. Must never give one out twice.
 */
final class PortReservation {
    private static final int FROM = 12_000, TO = 30_000, BLOCK = 50;
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static ServerSocket guard;
    private static int next;

    private PortReservation() { }

    /** One that is free for datagrams and streams, and stays so for whoever asked. */
    static synchronized int take() throws IOException {
        for (int tries = 0; tries < 10_000; tries++) {
            if (guard == null || next == guard.getLocalPort() + BLOCK) anotherBlock();
            int port = next++;
            if (isFree(port)) return port;
        }
        throw new IOException("no free ports from " + FROM + " to " + TO);
    }

    private static void anotherBlock() throws IOException {
        int blocks = (TO - FROM) / BLOCK, first = ThreadLocalRandom.current().nextInt(blocks);
        for (int i = 0; i < blocks; i++) {
            int port = FROM + (first + i) % blocks * BLOCK;
            try {
                // The guard of the block before stays open, since those ports are in use.
                guard = new ServerSocket(port, 1, HERE);
                next = port + 1;
                return;
            } catch (IOException e) {
                // another's
            }
        }
        throw new IOException("no free block of ports from " + FROM + " to " + TO);
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, HERE); DatagramSocket d = new DatagramSocket(port, HERE)) {
            return s.isBound() && d.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
