package slipfield.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The verdict on a sender must be able to be bad. */
class LedgerTest {
    private final Ledger ledger = new Ledger(60_000);

    private void taken(String id, Ledger.Effect effect) {
        ledger.handedIn(id, effect, 20_000);
        ledger.heard(id, true);
    }

    @Test
    void eachEndCountsOnce() {
        taken("delivered", Ledger.Effect.KEYED);
        ledger.run("delivered", "");
        ledger.delivered("delivered");
        taken("refused", Ledger.Effect.KEYED);
        ledger.noticed("refused", true);
        ledger.noticed("refused", true);
        taken("failed", Ledger.Effect.ONCE);
        ledger.run("failed", "");
        ledger.noticed("failed", false);
        ledger.handedIn("away", Ledger.Effect.ONCE, 20_000);
        ledger.handedIn("full", Ledger.Effect.ONCE, 20_000);
        ledger.heard("full", false);
        Ledger.Account account = ledger.account();
        assertEquals(new Ledger.Account(5, 3, 1, 1, 1, 1, 1, 0, 0, 0), account);
        assertTrue(account.holds());
        assertEquals(1, ledger.latency().getTotalCount());
    }

    @Test
    void whatIsTakenAndHasNoEndIsLost() {
        taken("one", Ledger.Effect.KEYED);
        ledger.run("one", "");
        assertEquals(1, ledger.account().lost());
        assertFalse(ledger.account().holds());
        assertFalse(ledger.allEnded());
    }

    /** Guards against a count of lost orders that can't be looked up in any log. */
    @Test
    void theAccountNamesWhatIsLost() {
        ledger.handedIn("o-7", Ledger.Effect.ONCE, 20_000, 3);
        ledger.heard("o-7", true);
        Ledger.MissingOrder missing = ledger.account().missing().get(0);
        assertEquals("o-7", missing.id());
        assertEquals(3, missing.sender());
        assertFalse(missing.heardAt().isBefore(missing.handedInAt()));
    }

    @Test
    void whatMustNotRunTwiceAndDoesIsDoubled() {
        taken("one", Ledger.Effect.ONCE);
        ledger.run("one", "");
        ledger.run("one", "");
        ledger.delivered("one");
        assertEquals(1, ledger.account().doubled());
        assertFalse(ledger.account().holds());
    }

    @Test
    void aKeyDropsRepeatsWithinItsWindowOnly() {
        taken("one", Ledger.Effect.KEYED);
        assertTrue(ledger.run("one", ""));
        assertFalse(ledger.run("one", ""));
        ledger.delivered("one");
        assertEquals(1, ledger.account().repeats());
        assertTrue(ledger.account().holds());
        Ledger past = new Ledger(-1);
        past.handedIn("one", Ledger.Effect.KEYED, 20_000);
        past.run("one", "");
        past.run("one", "");
        assertEquals(1, past.account().doubled());
    }

    @Test
    void whatIsGivenBackThoughItRanIsDoubled() {
        taken("one", Ledger.Effect.ONCE);
        ledger.run("one", "");
        ledger.noticed("one", true);
        assertEquals(1, ledger.account().doubled());
    }
}
