package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;
import slipfield.policy.DeliveryPolicy.RepeatSafety;

/**
 * The module's behaviour, through its interface. Class 0 is safe, 1 keyed, 2 unsafe and in order, 3 keyed by
 * zone.
 */
class WaveDeliveryPolicyTest {
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private static final int BY_ZONE = 3;

    // ---- the wave ----

    @Test
    void aWakeThatComesAMomentEarlyIsAskedForAgain() {
        Bench b = new Bench();
        b.take(1, SAFE, 1);
        b.until(15_990);
        int asked = b.wakes.size();
        b.now = b.wakes.get(asked - 1) - 0.0004;
        b.policy.wake(b.now);
        b.policy.endIteration(b.now);
        assertEquals(asked + 1, b.wakes.size());
    }

    @Test
    void aCopyJoinsAtHalfTheAimOnAnotherEndpoint() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, SAFE, 1);
        b.until(990);
        assertEquals(1, b.sends.size());
        b.until(1010);
        assertEquals(2, b.sends.size());
        assertFalse(b.sends.get(0).endpoint() == b.sends.get(1).endpoint());
    }

    @Test
    void aCopyGoesToTheOnlyEndpointWhereThereIsNoOther() {
        Bench b = new Bench().list(1, 10);
        b.take(1, SAFE, 1);
        b.until(1010);
        assertEquals(2, b.sends.size());
    }

    @Test
    void theFirstDeliveryCancelsTheRest() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, SAFE, 1);
        b.until(1010);
        b.end(1, 1, AttemptOutcome.DELIVERED);
        assertEquals(List.of("1/0"), b.cancels);
        b.end(1, 0, AttemptOutcome.CANCELLED);
        b.until(20_000);
        assertEquals(2, b.sends.size());
        assertTrue(b.answers.isEmpty());
    }

    @Test
    void noNewWaveWhileAnAttemptIsOut() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, SAFE, 1);
        b.until(1010);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.until(1900);
        assertEquals(2, b.sends.size());
        b.end(1, 1, AttemptOutcome.ERROR);
        b.until(2600);
        assertEquals(3, b.sends.size());
    }

    @Test
    void theStarterAllowsOneCopyAndATenthOfFirstSends() {
        Bench b = new Bench();
        for (int i = 0; i < 5; i++) {
            b.list(i, 10 + 2 * i, 11 + 2 * i);
        }
        for (int i = 0; i < 5; i++) {
            b.take(i, SAFE, i);
        }
        b.until(1900);
        assertEquals(6, b.sends.size(), "five first sends allow 1.5 copies, so one");
    }

    @Test
    void noCopyWithoutAFreeSlot() {
        Bench b = new Bench(2);
        b.list(1, 10, 11);
        b.list(2, 20);
        b.take(1, SAFE, 1);
        b.take(2, SAFE, 2);
        b.until(1900);
        assertEquals(2, b.sends.size());
    }

    @Test
    void anUnsafeMessageDoesNotRace() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, UNSAFE, 1);
        b.until(5000);
        assertEquals(1, b.sends.size());
    }

    @Test
    void quickErrorsDoNotBurnAllAttempts() {
        Bench b = new Bench().list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.ERROR, 10);
        b.take(1, SAFE, 1);
        b.until(1000);
        assertTrue(b.sends.size() >= 2 && b.sends.size() <= 5, "sends " + b.sends.size());
    }

    // ---- the rules ----

    @Test
    void everyMessageIsAnsweredOnceBeforeItsTimeIsUp() {
        Bench b = new Bench().list(1, 10);
        b.take(1, SAFE, 9);
        b.take(2, UNSAFE, 1);
        b.until(15_990);
        assertTrue(b.answers.isEmpty());
        b.until(16_020);
        assertEquals(List.of("refuse 1"), b.answers, "nothing ran; the other is still out");
        b.end(2, 0, AttemptOutcome.TIMED_OUT);
        assertEquals(List.of("refuse 1", "fail 2"), b.answers);
        b.until(40_000);
        assertEquals(2, b.answers.size());
        assertEquals(1, b.sends.size());
    }

    @Test
    void anUnsafeMessageGoesAgainOnlyWithProofThatItNeverRan() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, UNSAFE, 1);
        b.end(1, 0, AttemptOutcome.UNREACHABLE);
        b.until(1000);
        assertEquals(2, b.sends.size());
        b.end(1, 1, AttemptOutcome.ERROR);
        assertEquals(List.of("fail 1"), b.answers);
        b.until(20_000);
        assertEquals(2, b.sends.size());
    }

    @Test
    void aKeyedMessageIsNotRepeatedOutsideItsWindow() {
        Bench b = new Bench().list(1, 10);
        b.take(1, KEYED, 1);
        b.until(4000);
        int sent = b.sends.size();
        for (int i = 0; i < sent; i++) {
            b.end(1, i, AttemptOutcome.TIMED_OUT);
        }
        b.until(16_100);
        assertEquals(sent, b.sends.size());
        assertEquals(1, b.answers.size());
    }

    @Test
    void aKeyedMessageStaysInTheZoneThatMayHaveRunIt() {
        Bench b = new Bench();
        b.entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        b.take(1, BY_ZONE, 1);
        long first = b.sends.get(0).endpoint();
        b.until(1010);
        b.end(1, 0, AttemptOutcome.TIMED_OUT);
        b.until(3000);
        assertTrue(b.sends.size() >= 2);
        assertTrue(b.sends.stream().allMatch(s -> s.endpoint() == first));
    }

    @Test
    void aFailureByZoneIsNeverARefusal() {
        Bench b = new Bench().list(1, 10);
        b.take(1, BY_ZONE, 1);
        b.onSend = s -> b.endLater(s, AttemptOutcome.ERROR, 5);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.until(16_100);
        assertEquals(List.of("fail 1"), b.answers);
    }

    @Test
    void nothingNewGoesToADrainingOrGoneEndpoint() {
        Bench b = new Bench().list(1, 10);
        b.take(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.entry(10, 1, 0, 0, false);
        b.until(5000);
        assertEquals(1, b.sends.size());
        b.policy.endpointsChanged(b.now, true, List.of());
        b.take(2, SAFE, 1);
        b.until(6000);
        assertEquals(1, b.sends.size());
    }

    @Test
    void aToldWaitStopsEverySendThere() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 700);
        b.take(2, UNSAFE, 1);
        b.take(3, KEYED, 1);
        b.until(700);
        assertEquals(1, b.sends.size());
        b.until(4000);
        assertTrue(b.sends.size() > 1);
    }

    /** Found on menu-delivery big-2: only the first message's wait of a shared call was kept. */
    @Test
    void eachMessageOfACallMayBeToldItsOwnWait() {
        Bench b = new Bench().entry(10, 1, 1, 0, true);
        b.takeTogether(2, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 0);
        b.end(2, 0, AttemptOutcome.FULL, 3000);
        b.until(3000);
        assertEquals(2, b.sends.size());
    }

    @Test
    void aToldWaitBindsOneRouteWhereRoutesAreSeparate() {
        Bench b = new Bench().entry(10, 1, 2, 0, true).entry(11, 1, 2, 0, true);
        b.take(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 5000);
        b.until(900);
        assertEquals(2, b.sends.size());
        assertFalse(b.sends.get(0).endpoint() == b.sends.get(1).endpoint());
    }

    @Test
    void messagesOfOneKeyGoOneAtATimeAsTakenAndRestAfterADoubtfulEnd() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, UNSAFE, 1, "k");
        b.take(2, UNSAFE, 1, "k");
        b.take(3, UNSAFE, 1, "other");
        assertEquals(List.of(1L, 3L), b.sent());
        b.end(1, 0, AttemptOutcome.TIMED_OUT);
        b.until(490);
        assertEquals(List.of(1L, 3L), b.sent());
        b.until(600);
        assertEquals(List.of(1L, 3L, 2L), b.sent());
    }

    @Test
    void aWithdrawnMessageWithAnOpenAttemptStillHoldsItsKey() {
        Bench b = new Bench().list(1, 10, 11);
        b.take(1, UNSAFE, 1, "k");
        b.take(2, UNSAFE, 1, "k");
        b.policy.messageWithdrawn(b.now, 1);
        b.until(300);
        assertEquals(List.of(1L), b.sent());
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(List.of(1L, 2L), b.sent());
    }

    // ---- pace and health ----

    @Test
    void aRefusalPacesTheDestinationAndDeliveriesQuickenIt() {
        Bench b = new Bench(100).list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 5);
        for (int i = 0; i < 8; i++) {
            b.take(i, SAFE, 1);
        }
        b.until(100);
        assertEquals(8, b.sends.size(), "no pace before the first refusal");
        b.onSend = s -> { };
        b.take(50, SAFE, 1);
        b.end(50, 0, AttemptOutcome.FULL);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 5);
        for (int i = 100; i < 160; i++) {
            b.take(i, SAFE, 1);
        }
        double start = b.now;
        b.until(start + 1000);
        int early = b.sends.size() - 9;
        assertTrue(early >= 4 && early <= 16, "paced, sent " + early);
        b.until(start + 4000);
        assertTrue(b.sends.size() - 9 > 5 * early, "creeps back");
    }

    @Test
    void aSilentEndpointGetsSingleTrialsNotItsBacklog() {
        Bench b = new Bench(100).list(1, 10);
        for (int i = 0; i < 40; i++) {
            b.take(i, SAFE, 1);
            b.until(b.now + 100);
        }
        int before = b.sends.size();
        b.until(b.now + 4000);
        assertTrue(b.sends.size() <= before + 3, "sent " + (b.sends.size() - before));
    }

    /** Found in incident ia7b522: an endpoint that takes seconds but answers was held for silent. */
    @Test
    void aSlowAnswerEndsASilence() {
        Bench b = new Bench(100).list(1, 10);
        b.take(1, UNSAFE, 1);
        b.take(2, UNSAFE, 1);
        b.until(1500);
        b.take(3, UNSAFE, 1);
        assertEquals(2, b.sends.size(), "silent: no backlog");
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(3, b.sends.size());
    }

    @Test
    void aReturningDestinationIsNotPushedOver() {
        Bench b = new Bench(100).list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        b.takeEvery(100, SAFE, 1, 20_000);
        b.onSend = s -> b.endLater(s, AttemptOutcome.UNREACHABLE, 20);
        b.takeEvery(100, SAFE, 1, 30_000);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        b.takeEvery(100, SAFE, 1, 45_000);
        for (double from = 30_000; from + 1500 <= 42_000; from += 250) {
            double end = from + 1500;
            double capacity = 10 * 1.5 * (0.2 + 0.8 * Math.min(1, (from - 30_000) / 12_000));
            long sent = b.sends.stream().filter(s -> s.at() >= end - 1500 && s.at() < end).count();
            assertTrue(sent <= 2 * capacity, "sent " + sent + " from " + from);
        }
    }

    /** Found in incident if1c477: single resets kept an endpoint on its ramp for ever. */
    @Test
    void aLostCallNowAndThenDoesNotHoldBackAnEndpoint() {
        Bench b = new Bench(100).list(1, 10);
        b.onSend = s -> b.endLater(s, b.sends.size() % 4 == 0 ? AttemptOutcome.BROKEN : AttemptOutcome.DELIVERED, 20);
        b.takeEvery(200, SAFE, 1, 30_000);
        long last = b.sends.stream().filter(s -> s.at() > 20_000).count();
        assertTrue(last >= 50, "sends in the last ten seconds: " + last);
    }

    /**
     * Found on menu-delivery rough-2: beside a healthy route, one that had been down was never tried again.
     */
    @Test
    void anEndpointThatIsDownIsTriedAlsoBesideAHealthyOne() {
        Bench b = new Bench(100).list(1, 10, 11);
        b.onSend = s -> b.endLater(s, s.endpoint() == 10 && b.now < 5000 ? AttemptOutcome.UNREACHABLE
                : AttemptOutcome.DELIVERED, 20);
        b.takeEvery(100, SAFE, 1, 40_000);
        assertTrue(b.sends.stream().filter(s -> s.endpoint() == 10 && s.at() > 30_000).count() > 10);
    }

    /** Found in incident ia7b522: a few slow destinations held every slot. */
    /** Found in incident i1afe34: at three slots a sender, slow destinations held two each. */
    @Test
    void aDestinationHoldsOneOfThreeSlots() {
        Bench b = new Bench(3).list(1, 10).list(2, 20);
        b.take(1, SAFE, 1);
        b.take(2, SAFE, 1);
        b.take(3, SAFE, 2);
        assertEquals(List.of(1L, 3L), b.sent());
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(List.of(1L, 3L, 2L), b.sent());
    }

    @Test
    void aDestinationLeavesSlotsForOthers() {
        Bench b = new Bench(10).list(1, 10).list(2, 20);
        for (long id = 0; id < 20; id++) {
            b.take(id, SAFE, 1);
        }
        assertEquals(5, b.sends.size());
        b.take(50, SAFE, 2);
        assertEquals(6, b.sends.size());
    }

    /** Found on a reload day: a quarter of the slots stood idle beside the queue of a quick destination. */
    @Test
    void aQuickDestinationMayHoldAllSlotsButOneUntilACallIsOutOfPatience() {
        Bench b = new Bench(10).list(1, 10).list(2, 20);
        b.take(0, SAFE, 1);
        b.end(0, 0, AttemptOutcome.DELIVERED);
        for (long id = 1; id <= 20; id++) {
            b.take(id, SAFE, 1);
        }
        assertEquals(1 + 9, b.sends.size());
        b.take(50, SAFE, 2);
        assertEquals(1 + 10, b.sends.size(), "one is left for others");
        b.until(700);
        b.end(50, 0, AttemptOutcome.DELIVERED);
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(1 + 11, b.sends.size());
        b.until(900);
        b.end(2, 0, AttemptOutcome.DELIVERED);
        assertEquals(1 + 11, b.sends.size(), "those that are out may be silent");
    }

    /** Found on a reload day: where a life knew of no demand yet, ramps began at one call a second. */
    @Test
    void aRampBeginsWithTheEvenPartOfTheListedRate() {
        Bench b = new Bench(100);
        b.listedRate = 40;
        b.list(1, 10);
        b.policy.healthRestored(b.now, 10, new DeliveryPolicy.Health(DeliveryPolicy.State.DOWN, 0, 0));
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        for (long id = 1; id <= 100; id++) {
            b.resumeInTurn(id, SAFE, 1, 12_000, List.of());
        }
        b.policy.endIteration(b.now);
        b.until(6000);
        assertTrue(b.sends.size() >= 15 && b.sends.size() <= 40, "sent in 6 s: " + b.sends.size());
    }

    /**
     * Found in incident i119abc: with nothing carried before the outage the ramp was one call in seven
     * seconds.
     */
    @Test
    void anOutageAtTheStartIsRampedOnTheMessagesTaken() {
        Bench b = new Bench(100).list(1, 10);
        b.onSend = s -> b.endLater(s, b.now < 6000 ? AttemptOutcome.UNREACHABLE : AttemptOutcome.DELIVERED, 20);
        b.takeEvery(200, SAFE, 1, 14_000);
        long sent = b.sends.stream().filter(s -> s.at() > 8000).count();
        assertTrue(sent >= 10, "sent in six seconds: " + sent);
    }

    /** Found in incident i8f4fa9: between told waits the pace grew to forty times what was sent. */
    @Test
    void thePaceSettlesNearALimitThatTellsWaits() {
        Bench b = new Bench(100).list(1, 10);
        double[] room = {2, 0};
        b.onSend = s -> {
            room[0] = Math.min(2, room[0] + (b.now - room[1]) * 5 / 1000);
            room[1] = b.now;
            boolean taken = room[0] >= 1;
            room[0] -= taken ? 1 : 0;
            b.at(b.now + 20, () -> b.end(s.message(), s.attempt(), taken ? AttemptOutcome.DELIVERED : AttemptOutcome.FULL,
                    taken ? 0 : 2000));
        };
        b.takeEvery(125, SAFE, 1, 60_000);
        long taken = b.delivered();
        assertTrue(taken >= 0.6 * 5 * 60, "delivered in a minute at five a second: " + taken);
    }

    /** Found in incident i40f4ff: eight senders sat on their floors for long after the refusals had ended. */
    @Test
    void aPaceAmongManySendersRecoversWhenRefusalsEnd() {
        Bench b = new Bench(100, 8);
        b.listedRate = 16;
        b.list(1, 10);
        b.onSend = s -> b.endLater(s, b.now < 8000 && b.sends.size() % 3 > 0 ? AttemptOutcome.FULL
                : AttemptOutcome.DELIVERED, 20);
        b.takeEvery(400, SAFE, 1, 40_000);
        long late = b.sends.stream().filter(s -> s.at() > 20_000 && s.at() < 30_000).count();
        assertTrue(late >= 22, "sent in ten seconds: " + late);
    }

    /** Found in incident ie9f35c: each of eleven senders kept its own floor of pace at a shut destination. */
    @Test
    void theFloorOfThePaceFollowsTheSendersOwnPartOfTheLoad() {
        Bench b = new Bench(100, 11).list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.FULL, 5);
        b.takeEvery(500, SAFE, 1, 10_000);
        long sent = b.sends.stream().filter(s -> s.at() > 2000).count();
        assertTrue(sent <= 8, "sent in eight seconds: " + sent);
    }

    /** Found on akl-order-route: few senders fell under their even part of a listed rate after refusals. */
    @Test
    void aListedRateKeepsThePaceFromFallingFarUnderTheEvenPart() {
        Bench b = new Bench(100, 2);
        b.listedRate = 8;
        b.list(1, 10);
        b.onSend = s -> b.endLater(s, b.sends.size() % 3 > 0 ? AttemptOutcome.FULL : AttemptOutcome.DELIVERED, 20);
        b.takeEvery(500, SAFE, 1, 20_000);
        long sent = b.sends.stream().filter(s -> s.at() > 5000 && s.at() < 15_000).count();
        assertTrue(sent >= 15, "sent in ten seconds: " + sent);
    }

    /** Found on days in service: a clump cut a slow destination's pace to half its part for ten seconds. */
    @Test
    void aToldRateKeepsThePaceNearTheEvenPart() {
        assertTrue(sentAfterARefusal(16, 16) >= 6, "eight a second each, told: " + sentAfterARefusal(16, 16));
        for (double spoilt : new double[] {0, Double.NaN, Double.POSITIVE_INFINITY, -16}) {
            assertEquals(sentAfterARefusal(0, 0), sentAfterARefusal(spoilt, spoilt), "told " + spoilt);
        }
        assertTrue(sentAfterARefusal(16, 1e9) <= 12, "one spoilt figure: " + sentAfterARefusal(16, 1e9));
    }

    /** Sends in the second after a refusal, with none of them answered. */
    private static int sentAfterARefusal(double told, double last) {
        Bench b = new Bench(100, 2).list(1, 10);
        b.toldRate = told;
        b.take(0, SAFE, 1);
        b.end(0, 0, AttemptOutcome.DELIVERED);
        b.take(1, SAFE, 1);
        b.toldRate = last;
        b.end(1, 0, AttemptOutcome.FULL);
        for (int i = 2; i < 60; i++) {
            b.take(i, SAFE, 1);
        }
        int before = b.sends.size();
        b.until(1000);
        return b.sends.size() - before;
    }

    /** Found on the long day: calls that got no answer held all slots until their time-outs. */
    @Test
    void callsWithoutAnswerGiveUpTheirSlotsToWhatWaits() {
        for (int type : List.of(SAFE, UNSAFE)) {
            Bench b = new Bench(4, 2);
            b.strict = true;
            for (int d = 1; d <= 5; d++) {
                b.list(d, 10 * d);
            }
            b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
            for (int i = 0; i < 100; i++) {
                b.take(i, SAFE, 1 + i % 5);
                b.until(b.now + 25);
            }
            b.onSend = s -> {
                if (s.endpoint() == 50) {
                    b.endLater(s, AttemptOutcome.DELIVERED, 20);
                }
            };
            for (int i = 100; i < 104; i++) {
                b.take(i, type, i - 99);
            }
            double start = b.now;
            b.until(start + 250);
            b.takeEvery(20, SAFE, 5, start + 900);
            long sent = b.sends.stream().filter(s -> s.at() > start && s.endpoint() == 50).count();
            assertEquals(type == SAFE, sent > 10, "sent to the one that answers: " + sent);
        }
    }

    /** Found on the long day: one reset connection put an endpoint through a ramp of twelve seconds. */
    @Test
    void oneLostConnectionIsNoOutage() {
        for (AttemptOutcome lost : List.of(AttemptOutcome.UNREACHABLE, AttemptOutcome.ERROR)) {
            Bench b = new Bench(100, 2).list(1, 10);
            b.onSend = s -> b.endLater(s, s.at() > 4000 && s.at() < 4100 ? lost : AttemptOutcome.DELIVERED, 20);
            b.takeEvery(10, SAFE, 1, 5000);
            int before = b.sends.size();
            b.takeEvery(10, SAFE, 1, 6000);
            int sent = b.sends.size() - before;
            assertEquals(lost == AttemptOutcome.UNREACHABLE, sent > 80, lost + ": sent in a second: " + sent);
        }
    }

    /** Found on the long day: each endpoint that had gone took its part of what a returning one was sent. */
    @Test
    void endpointsThatAreGoneHaveNoPartInARamp() {
        int fresh = sentInARamp(1);
        int churned = sentInARamp(40);
        assertTrue(fresh > 10, "sent in ten seconds: " + fresh);
        assertTrue(churned > 0.7 * fresh, "after forty others: " + churned + " of " + fresh);
    }

    /** One endpoint serves after so many others have come and gone; it is new, fails at first, and warms up. */
    private static int sentInARamp(int others) {
        Bench b = new Bench(100, 2);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        for (int i = 0; i < others; i++) {
            b.list(1, 100 + i);
            b.takeEvery(50, SAFE, 1, b.now + 40_000.0 / others);
            b.gone(100 + i, 1);
        }
        b.list(1, 10);
        b.onSend = s -> b.endLater(s, s.at() < 43_000 ? AttemptOutcome.UNREACHABLE : AttemptOutcome.DELIVERED, 20);
        b.takeEvery(50, SAFE, 1, 44_000);
        int before = b.sends.size();
        b.takeEvery(50, SAFE, 1, 54_000);
        return b.sends.size() - before;
    }

    /** An endpoint may be yet to come: a message is not given up while its destination has none. */
    @Test
    void whatWasRefusedIsHeldWhileItsDestinationHasNoEndpoint() {
        Bench b = new Bench(100, 2).list(1, 10);
        b.gone(10, 1);
        b.until(40_000);
        b.list(2, 20);
        b.resume(1, SAFE, 1, 10_000, List.of(new DeliveryPolicy.PreviousAttempt(10, 39_000, false)));
        b.until(41_000);
        assertTrue(b.answers.isEmpty(), b.answers.toString());
        b.list(1, 11);
        b.until(42_000);
        assertTrue(b.sent().contains(1L));
    }

    /** Found on menu-delivery-later: at two hundred senders a floor divided among them was a call a minute. */
    @Test
    void aSmallSendersRefusedMessageGoesAgainWithinASecond() {
        Bench b = new Bench(3, 200).list(1, 10);
        b.onSend = s -> b.endLater(s, s.attempt() == 0 ? AttemptOutcome.FULL : AttemptOutcome.DELIVERED, 5);
        for (int id = 1; id <= 3; id++) {
            b.take(id, SAFE, 1);
            b.until(id * 15_000 + 1000);
            assertEquals(id, b.delivered());
            b.until(id * 15_000 + 15_000);
        }
    }

    /** Found on menu-delivery-later: senders told to wait until it opened came back all at that moment. */
    @Test
    void sendersToldToWaitForOneMomentDoNotComeBackAtOnce() {
        int early = 0;
        for (int seed = 0; seed < 40; seed++) {
            Bench b = new Bench(3, 200, seed).list(1, 10);
            b.take(1, SAFE, 1);
            b.end(1, 0, AttemptOutcome.FULL, 8000);
            b.until(9000);
            early += b.sends.size() - 1;
        }
        assertTrue(early <= 8, "of forty senders back within a second: " + early);
    }

    /** Found on menu-delivery-later: a hung endpoint refused most calls, and was tried until it fell over. */
    @Test
    void refusalsAndLostCallsTogetherTakeAnEndpointDown() {
        Bench b = new Bench(3, 200).list(1, 10);
        b.onSend = s -> b.endLater(s, b.sends.size() % 3 > 0 ? AttemptOutcome.FULL : AttemptOutcome.ERROR, 300);
        b.takeEvery(2000, SAFE, 1, 20_000);
        long late = b.sends.stream().filter(s -> s.at() > 6000).count();
        assertTrue(late <= 2, "sent to an endpoint that never delivers: " + late);
    }

    /** Found on menu-delivery-later: refused calls used up the limit, and new tries kept it used up for good. */
    @Test
    void newTriesOfRefusedMessagesAreAShareOfFirstSends() {
        Bench b = new Bench(100, 50);
        for (long destination = 0; destination < 100; destination++) {
            b.list(destination, destination);
        }
        b.onSend = s -> b.endLater(s, AttemptOutcome.FULL, 5);
        for (long id = 0; id < 100; id++) {
            b.take(id, SAFE, id);
            b.until(b.now + 100);
        }
        assertTrue(b.sends.size() <= 132, "sends of a hundred messages: " + b.sends.size());
        assertTrue(b.sends.size() >= 120, "sends of a hundred messages: " + b.sends.size());
    }

    @Test
    void messagesOfOneTurnShareACallAndItsSlot() {
        Bench b = new Bench(1).entry(10, 1, 1, 0, true);
        b.takeTogether(5, SAFE, 1);
        assertEquals(5, b.sends.size());
    }

    @Test
    void aCheaperRouteIsPreferred() {
        Bench b = new Bench().entry(10, 1, 2, 1, true).entry(11, 1, 2, 0, true);
        b.take(1, SAFE, 1);
        assertEquals(11, b.sends.get(0).endpoint());
    }

    /** Found by hunt --rules on menu-delivery-later: senders kept to a hung route beside one that served. */
    @Test
    void anEndpointWhoseLastEndWasFruitlessYieldsToItsSibling() {
        Bench b = new Bench().entry(10, 1, 2, 0, true).entry(11, 1, 2, 1, true);
        b.take(1, UNSAFE, 1);
        b.end(1, 0, AttemptOutcome.DELIVERED);
        b.take(2, UNSAFE, 1);
        assertEquals(10, b.sends.get(1).endpoint());
        b.end(2, 0, AttemptOutcome.FULL);
        b.until(2000);
        b.take(3, UNSAFE, 1);
        assertEquals(List.of(11L, 11L), b.sends.stream().skip(2).map(Bench.Sent::endpoint).toList());
    }

    /** Found on ensemble-bokning-later and menu-delivery-later: connections were dropped unseen when idle. */
    @Test
    void afterLossesOnIdleConnectionsAtTwoDestinationsOthersAreClosedBeforeUse() {
        Bench b = new Bench().list(1, 10).list(2, 20).list(3, 30);
        for (long id = 1; id <= 3; id++) {
            b.take(id, UNSAFE, id);
            b.end(id, 0, AttemptOutcome.DELIVERED);
        }
        b.until(4000);
        for (long id = 4; id <= 5; id++) {
            b.take(id, UNSAFE, id - 3);
            b.end(id, 0, AttemptOutcome.BROKEN);
            assertTrue(b.closes.isEmpty());
        }
        b.take(6, UNSAFE, 3);
        assertEquals(List.of(30L), b.closes);
        assertEquals(6, b.sends.size());
    }

    @Test
    void aFreshInstanceSendsAtOnce() {
        Bench b = new Bench().list(1, 10);
        b.take(1, UNSAFE, 1);
        assertEquals(1, b.sends.size());
    }

    // ---- misuse ----

    @Test
    void misuseThrowsAndLateEventsAreIgnored() {
        Bench b = new Bench().list(1, 10);
        b.take(1, SAFE, 1);
        assertThrows(IllegalArgumentException.class, () -> b.end(7, 0, AttemptOutcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> b.end(1, 3, AttemptOutcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> b.take(1, SAFE, 1));
        assertThrows(IllegalArgumentException.class, () -> b.take(2, 17, 1));
        assertThrows(IllegalArgumentException.class, () -> b.policy.wake(b.now - 1));
        b.policy.messageWithdrawn(b.now, 99);
        b.policy.wake(b.now);
    }

    // ---- a random sequence against all rules ----

    @Test
    void randomEventsKeepTheRules() {
        for (int seed = 0; seed < 30; seed++) {
            new RandomDay(seed).run();
        }
    }

    /** A seeded day of random ends, drains and withdrawals; the recorder checks the rules at each action. */
    private static final class RandomDay {
        private final Random random;
        private final Bench b;

        RandomDay(int seed) {
            random = new Random(seed);
            b = new Bench(4 + seed % 5);
            b.strict = true;
        }

        void run() {
            for (int d = 0; d < 4; d++) {
                b.entry(10 * d, d, d % 3, 0, true).entry(10 * d + 1, d, d % 3, 1, true);
            }
            AttemptOutcome[] outcomes = AttemptOutcome.values();
            b.onSend = s -> {
                AttemptOutcome outcome = random.nextInt(3) > 0 ? AttemptOutcome.DELIVERED : outcomes[random.nextInt(6)];
                double took = outcome == AttemptOutcome.TIMED_OUT ? s.timeout() : Math.min(s.timeout(),
                        random.nextInt(1500));
                b.endLater(s, outcome, took);
            };
            for (long id = 0; id < 300; id++) {
                int type = random.nextInt(4);
                b.take(id, type, random.nextInt(4), "k" + random.nextInt(5));
                b.until(b.now + random.nextInt(120));
                if (random.nextInt(40) == 0) {
                    int d = random.nextInt(4);
                    b.entry(10 * d, d, d % 3, 0, random.nextBoolean());
                }
                if (random.nextInt(50) == 0) {
                    b.withdraw(random.nextInt((int) id + 1));
                }
            }
            b.until(b.now + 40_000);
            b.allAnswered();
        }
    }

    // ---- across lives ----

    private static Bench resumed(int type, double leftMs, DeliveryPolicy.PreviousAttempt... earlier) {
        Bench b = new Bench().list(1, 10, 11);
        b.until(20_000);
        b.resume(1, type, 1, leftMs, List.of(earlier));
        return b;
    }

    private static DeliveryPolicy.PreviousAttempt earlier(double agoMs, boolean mayHaveRun) {
        return new DeliveryPolicy.PreviousAttempt(10, 20_000 - agoMs, mayHaveRun);
    }

    @Test
    void anEarlierLifesAttemptHoldsNoSlotAndIsNumberedOnFrom() {
        Bench b = resumed(SAFE, 9000, earlier(500, true), earlier(100, false));
        assertEquals(List.of(1L), b.sent());
        b.end(1, 2, AttemptOutcome.DELIVERED);
        assertTrue(b.answers.isEmpty());
        for (long id = 2; id <= 6; id++) {
            b.take(id, SAFE, 1);
        }
        assertTrue(b.sends.size() >= 5, "no slot is lost to what was out at the death");
    }

    @Test
    void aKeyedMessageIsRepeatedAfterARestartOnlyWithinItsWindow() {
        assertEquals(List.of(1L), resumed(KEYED, 9000, earlier(1000, true)).sent());
        Bench late = resumed(KEYED, 9000, earlier(4000, true));
        assertTrue(late.sends.isEmpty());
        assertEquals(List.of("fail 1"), late.answers, "given up at once, not at its deadline");
        assertEquals(List.of(1L), resumed(KEYED, 9000, earlier(4000, false)).sent());
    }

    /**
     * Found on a split day: refused near its window's end, a message that had been out came to another sender, which
     * knew of no attempt and sent it after the window.
     */
    @Test
    void aKeyedMessageThatMayHaveRunIsNotRefused() {
        Bench b = new Bench().list(1, 10);
        b.take(1, KEYED, 1);
        b.end(1, 0, AttemptOutcome.TIMED_OUT);
        b.entry(10, 1, 0, 0, false);
        b.take(2, KEYED, 1);
        b.until(16_000);
        assertEquals(List.of("fail 1", "refuse 2"), b.answers, "what was never out may come again anywhere");
    }

    @Test
    void aKeyedMessageIsAnsweredWhenItsWindowHasPassed() {
        Bench b = new Bench().list(1, 10);
        b.take(1, KEYED, 1);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.entry(10, 1, 0, 0, false);
        b.until(3650);
        assertTrue(b.answers.isEmpty());
        b.until(3750);
        assertEquals(List.of("fail 1"), b.answers, "not only at its deadline");
    }

    @Test
    void anOutageBeforeTheRestartGoesOnWithTrials() {
        Bench b = new Bench().list(1, 10);
        b.until(20_000);
        b.policy.healthRestored(b.now, 10, new DeliveryPolicy.Health(DeliveryPolicy.State.DOWN, 15_000, 0));
        for (long id = 1; id <= 12; id++) {
            b.resumeInTurn(id, SAFE, 1, 9000, List.of(earlier(1000, false)));
        }
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 100);
        b.policy.endIteration(b.now);
        b.until(23_000);
        assertTrue(b.sends.size() >= 1 && b.sends.size() <= 6, "sent in 3 s: " + b.sends.size());
        b.until(29_100);
        b.allAnswered();
    }

    /** Found on a reload day: a backlog that waited for slots went through trials and a ramp of 12 s. */
    @Test
    void aLateBacklogAloneIsNoOutage() {
        Bench b = new Bench().list(1, 10);
        b.until(20_000);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 100);
        for (long id = 1; id <= 12; id++) {
            b.resumeInTurn(id, SAFE, 1, 9000, id % 2 == 0 ? List.of() : List.of(earlier(1000, false)));
        }
        b.policy.endIteration(b.now);
        b.until(21_000);
        assertEquals(12, b.sends.size());
    }

    @Test
    void aRampGoesOnAcrossARestartWithTheRateCarriedBefore() {
        Bench b = new Bench().list(1, 10);
        b.until(20_000);
        // Known before any list names it.
        b.policy.healthRestored(b.now, 20, new DeliveryPolicy.Health(DeliveryPolicy.State.WARMING, 11_000, 0.02));
        b.list(2, 20);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        for (long id = 1; id <= 60; id++) {
            b.resumeInTurn(id, SAFE, 2, 9000, List.of());
        }
        b.policy.endIteration(b.now);
        b.until(21_000);
        assertTrue(b.sends.size() >= 15 && b.sends.size() <= 35, "sent in 1 s: " + b.sends.size());
        b.until(24_000);
        assertEquals(60, b.sends.size(), "warm after three seconds more");
    }

    @Test
    void whatALaterLifeMustKnowIsTold() {
        Bench b = new Bench().list(1, 10);
        b.take(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.UNREACHABLE);
        assertEquals(DeliveryPolicy.State.DOWN, b.health.get(10L).state());
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        b.until(5000);
        assertEquals(DeliveryPolicy.State.WARMING, b.health.get(10L).state());
        double since = b.health.get(10L).since();
        assertTrue(since > 0 && since < 5000);
        b.until(15_000);
        b.take(2, SAFE, 1);
        b.until(15_100);
        assertEquals(DeliveryPolicy.State.UP, b.health.get(10L).state());
    }

    @Test
    void aRefusalTellsWhenTheDestinationOpensAgain() {
        Bench b = new Bench().list(1, 10).list(2, 20);
        b.take(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 5000);
        b.resume(2, SAFE, 1, -1, List.of());
        b.resume(3, SAFE, 2, -1, List.of());
        assertEquals(List.of("refuse 2", "refuse 3"), b.answers);
        assertTrue(b.waits.get(0) >= 5000, "the told wait at least");
        assertEquals(0, b.waits.get(1));
    }

    @Test
    void aZonesRepeatsStayInTheZoneAcrossLives() {
        Bench b = new Bench().entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        b.until(20_000);
        b.resume(1, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.PreviousAttempt(11, 19_900, true)));
        assertEquals(11, b.sends.get(0).endpoint());
        b.resume(2, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.PreviousAttempt(99, 19_900, true)));
        assertEquals(List.of("fail 2"), b.answers, "an endpoint that has left is of no known zone");
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsGivenUpAfterARestart() {
        Bench b = resumed(UNSAFE, 9000, earlier(100, true));
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("fail 1"), b.answers);
        assertEquals(List.of(1L), resumed(UNSAFE, 9000, earlier(100, false)).sent());
    }

    @Test
    void attemptsOfAllLivesCountTogether() {
        DeliveryPolicy.PreviousAttempt[] twelve = new DeliveryPolicy.PreviousAttempt[12];
        java.util.Arrays.fill(twelve, earlier(100, false));
        Bench b = resumed(SAFE, 9000, twelve);
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("refuse 1"), b.answers);
    }

    @Test
    void anOverdueMessageIsAnsweredAtOnce() {
        Bench b = resumed(SAFE, -100);
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("refuse 1"), b.answers);
    }

    @Test
    void aKeyInOrderRestsAfterARestartWhereAnAttemptMayRunOn() {
        Bench b = resumed(UNSAFE, 9000, earlier(100, true));
        b.take(2, UNSAFE, 1, "key 1");
        b.until(20_490);
        assertTrue(b.sends.isEmpty());
        b.until(20_510);
        assertEquals(List.of(2L), b.sent());
    }

    /** Fresh ones are worth more here. No endpoint has seen it: neither what never connected in an earlier life, nor in this one, has been tried. */
    @Test
    void whatWasFoundUntriedGoesFirstUntilAnEndpointHasSeenIt() {
        Bench b = new Bench();
        b.policy.sendRateRestored(b.now, 1, DeliveryPolicy.ALL_ROUTES, new DeliveryPolicy.SendRate(0.001, 0));
        b.list(1, 10);
        b.resumeInTurn(9, SAFE, 1, 15_000, List.of(new DeliveryPolicy.PreviousAttempt(10, -500, false)));
        b.takeTogether(3, UNSAFE, 1);
        untilSent(b, 1);
        assertEquals(List.of(9L), b.sent(), "before what is fresh");
        b.end(9, 1, AttemptOutcome.UNREACHABLE);
        untilSent(b, 2);
        assertEquals(List.of(9L, 9L), b.sent(), "still before it");
        b.end(9, 2, AttemptOutcome.FULL);
        untilSent(b, 3);
        assertNotEquals(9L, b.sent().get(2), "as any other from then on");
    }

    private static void untilSent(Bench b, int many) {
        while (b.sent().size() < many && b.now < 15_000) {
            b.until(b.now + 20);
        }
    }

    @Test
    void noCallStartsThatIsNotExpectedToEndBeforeTheClose() {
        Bench b = new Bench().list(1, 10, 11);
        b.policy.shutdownScheduled(b.now, 3000);
        b.take(1, SAFE, 1);
        assertEquals(List.of(1L), b.sent());
        b.take(2, UNSAFE, 1);
        assertEquals(List.of(1L), b.sent(), "what can't be repeated has its whole time-out or none");
        b.until(2500);
        b.take(3, SAFE, 1);
        b.until(6000);
        assertFalse(b.sent().contains(3L));
    }

    /** Report a7d527: each endpoint of a destination needed failures of its own before it was left alone. */
    @Test
    void twoFailuresInARowAtTwoEndpointsLeaveTheThirdToTrials() {
        Bench b = new Bench(100).list(1, 10, 11, 12);
        b.onSend = s -> b.endLater(s, AttemptOutcome.ERROR, 20);
        b.take(1, SAFE, 1);
        b.until(400);
        assertEquals(2, b.sends.size());
        assertNotEquals(b.sends.get(0).endpoint(), b.sends.get(1).endpoint());
        for (long endpoint = 10; endpoint <= 12; endpoint++) {
            assertEquals(DeliveryPolicy.State.DOWN, b.health.get(endpoint).state(), "endpoint " + endpoint);
        }
    }

    @Test
    void whatAnEarlierLifeTriedInVainIsTriedOnceBeforeAllThatWaits() {
        Bench b = new Bench(100).list(1, 10);
        b.until(20_000);
        for (long id = 1; id <= 8; id++) {
            b.resumeInTurn(id, SAFE, 1, 9000, List.of(earlier(1000, false)));
        }
        b.policy.endIteration(b.now);
        assertEquals(1, b.sends.size());
        b.end(b.sends.get(0).message(), 1, AttemptOutcome.DELIVERED);
        b.until(20_001);
        assertEquals(8, b.sends.size());
    }

    // ---- the module's size ----

    @Test
    void theModuleStaysSmall() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/slipfield/policy/WaveDeliveryPolicy.java"));
        assertTrue(lines.stream().filter(l -> !l.isBlank()).count() <= 1200);
        assertTrue(lines.stream().allMatch(l -> l.length() <= 110));
    }

    static final List<DeliveryPolicy.MessageClass> CLASSES = List.of(
            new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, RepeatSafety.SAFE, false, 0, false),
            new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, RepeatSafety.KEYED, false, 4000, false),
            new DeliveryPolicy.MessageClass(2000, 16_000, 4, 0.3, RepeatSafety.UNSAFE, false, 0, true),
            new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, RepeatSafety.KEYED, true, 15_000, false));

    /** Kind 2 has separate routes, so its limit is that of one endpoint. */
    @Test
    void aRecalledPaceHoldsFromTheFirstSendOn() {
        for (boolean route : List.of(false, true)) {
            Bench b = new Bench();
            b.policy.sendRateRestored(b.now, 1, route ? 10 : DeliveryPolicy.ALL_ROUTES, new DeliveryPolicy.SendRate(0.001, 0));
            b.entry(10, 1, route ? 2 : 0, 0, true);
            b.takeTogether(6, SAFE, 1);
            b.until(900);
            assertTrue(b.sends.size() <= 2, "one a second: " + b.sends);
            b.until(2500);
            assertTrue(b.sends.size() >= 2, "it goes on: " + b.sends);
        }
        Bench fresh = new Bench().list(1, 10);
        fresh.takeTogether(6, SAFE, 1);
        assertTrue(fresh.sends.size() > 3, "without one only slots hold them back: " + fresh.sends);
    }

    @Test
    void aPaceIsRememberedWhenItHasChangedByMuch() {
        Bench b = new Bench().list(1, 10);
        b.takeTogether(2, SAFE, 1);
        assertEquals(List.of(), b.paces);
        b.end(1, 0, AttemptOutcome.FULL);
        assertEquals(1, b.paces.size(), "a first refusal sets it");
        assertTrue(b.paces.get(0).perMs() < Double.POSITIVE_INFINITY);
        b.end(2, 0, AttemptOutcome.DELIVERED);
        assertEquals(1, b.paces.size(), "a small step is not worth a record: " + b.paces);
        b.until(2000);
        b.end(1, 1, AttemptOutcome.DELIVERED);
        b.until(90_000);
        b.take(9, SAFE, 1);
        b.until(100_000);
        assertEquals(Double.POSITIVE_INFINITY, b.paces.get(b.paces.size() - 1).perMs(), "idle, it is forgotten");
    }
}
