package mothcross.policy;

import java.util.Map;
import java.util.Set;

/**
 * What directors say to each other about the policy. What promises something that has to outlast a crash is made with
 * the {@link Receipt} of the write that it rests on, and can't be made without.
 */
public sealed interface Said {
    /** That what a message rests on is on disk and synced; made by the disk's edge only, once its sync has returned. */
    final class Receipt {
        private final Voter.State of;

        Receipt(Voter.State of) {
            this.of = of;
        }

        Voter.State of() {
            return of;
        }
    }

    // ---- the register ----

    /** A writer asks to be heard first; {@code founders}: whom its own file names, where nothing is decided yet. */
    record Prepare(Turn turn, Set<String> founders) implements Said { }

    record Promised(Turn turn, String mark, Turn at, Book accepted) implements Said {
        public static Promised of(Receipt r) {
            return new Promised(r.of().promised(), r.of().mark(), r.of().acceptedAt(), r.of().accepted());
        }
    }

    record Accept(Turn turn, Book book) implements Said { }

    record Accepted(Turn turn, String mark) implements Said {
        public static Accepted of(Receipt r) {
            return new Accepted(r.of().acceptedAt(), r.of().mark());
        }
    }

    /** A later turn was promised; nothing was changed. */
    record Late(Turn turn, Turn promised) implements Said { }

    // ---- what is decided ----

    record Decided(Book book) implements Said { }

    /** Asks for what is decided after this revision; the whole book, or the part that concerns the asker. */
    record Learn(long revision, boolean whole) implements Said { }

    /** From one that knows of later voters and can't tell what they decided: whom to ask. No word on who votes. */
    record AskThem(long voters, Set<String> names) implements Said { }

    // ---- who may serve ----

    record Enrol(long life, String host, int port) implements Said { }

    record Leave(long life) implements Said { }

    /** Is this plan still the one, for this life? {@code voters}: their number, as the asker knows it. */
    record MayI(long life, long plan, long voters, long number) implements Said { }

    record YouMay(long number, String mark, boolean yes, long revision) implements Said { }

    // ---- the change ----

    /** One who drives asks how far a director is with this stage. */
    record HowFar(long revision, long since, long plan) implements Said { }

    /** READY: it has checked and kept the text, and binds itself; TAKEN: it decides by that plan. */
    enum Far { BEHIND, FETCHING, CHECKING, NO, READY, TAKEN }

    record Standing(long life, long since, long plan, Far far, String why) implements Said { }

    // ---- texts ----

    record Fetch(String digest, int from) implements Said { }

    record Chunk(String digest, int from, int size, byte[] bytes) implements Said {
        @Override public boolean equals(Object o) {
            return o instanceof Chunk c && c.digest.equals(digest) && c.from == from;
        }

        @Override public int hashCode() {
            return digest.hashCode() + from;
        }
    }

    record NotHere(String digest) implements Said { }

    /** To one who drives, from one who does not: what it has heard of the directors about this stage. */
    record Words(long since, Map<String, Standing> of) implements Said { }
}
