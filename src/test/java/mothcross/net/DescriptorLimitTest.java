package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import mothcross.standin.FakeClients;
import mothcross.standin.FakeNode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A fleet with more nodes than the director has descriptors for. */
@Test(timeOut = 60_000)
public class DescriptorLimitTest {
    private static final int NODES = 40;
    private static final int LOOKUPS = 400;
    private static final int OBJECT_KB = 10;

    /** Descriptors of clients and of connections to nodes; the clients, whose number only grows, are read first. */
    private static int openSockets(DirectorServer director) {
        int clients = director.dispatcher().clientCount();
        int discovery = 1;
        return clients + director.dispatcher().connector.getManagedSessionCount() - discovery;
    }

    /** Descriptors, clients, and how many lookups a second each node answers. */
    @DataProvider public Object[][] loads() {
        return new Object[][] {
            {48, 12, 1000},     // connections are idle most of the time
            {20, 9, 20},        // more lookups are open than there may be connections
        };
    }

    /**
     * Guards against connections to nodes that take all descriptors: clients that the machine has accepted would never
     * be read.
     */
    @Test(dataProvider = "loads")
    public void connectionsToNodesLeaveDescriptorsToClients(int descriptors, int clientCount, int lookupsPerSecond)
        throws Exception {
        try (Fleet fleet = new Fleet(NODES)) {
            fleet.configParameters.put("sockets", Integer.toString(descriptors));
            for (FakeNode node : fleet.caches) node.limitRate(lookupsPerSecond);
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            DirectorServer director = fleet.director("d1");
            int most = 0;
            try (FakeClients clients = new FakeClients(director.port(), clientCount, 0, OBJECT_KB, 0)) {
                while (clients.handled.get() < LOOKUPS && clients.failed.get() == 0) {
                    most = Math.max(most, openSockets(director));
                    Thread.onSpinWait();
                }
                assertEquals(clients.failed.get(), 0);
            }
            int processDescriptors = descriptors / 8;
            assertTrue(most + processDescriptors <= descriptors, "sockets: " + most);
            assertTrue(director.dispatcher().counters.closedForRoom > 0, "connections make room for others");
        }
    }

    /** Guards against descriptors that are taken and never given back, so that no lookup would be sent any more. */
    @Test public void descriptorsOfConnectionsThatFailAreReleased() throws Exception {
        try (Fleet fleet = new Fleet(NODES)) {
            fleet.configParameters.put("sockets", "20");
            for (FakeNode node : fleet.caches) node.stop();
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            DirectorServer director = fleet.director("d1");
            try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                for (int i = 0; i < 100; i++) client.status(i, OBJECT_KB, 0);
            }
            assertTrue(director.dispatcher().counters.connects > 50);
            Fleet.awaitTrue("all are released", () -> director.dispatcher().descriptors.nodeConnections() == 0);
        }
    }
}
