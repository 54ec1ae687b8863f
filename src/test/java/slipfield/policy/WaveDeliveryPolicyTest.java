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
 * The decision module's behaviour, through its interface. Messages of class 0 are safe to repeat, of class 1 keyed, of class 2
 * unsafe and in order, of class 3 keyed with repeats dropped within one zone only.
 */
class WaveDeliveryPolicyTest {
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private static final int BY_ZONE = 3;

    // ---- waves and hedged attempts ----

    @Test
    void aWakeThatComesTooEarlyIsRequestedAgain() {
        PolicyHarness b = new PolicyHarness();
        b.accept(1, SAFE, 1);
        b.until(15_990);
        int wakes = b.wakes.size();
        b.now = b.wakes.get(wakes - 1) - 0.0004;
        b.policy.wake(b.now);
        b.policy.endIteration(b.now);
        assertEquals(wakes + 1, b.wakes.size());
    }

    @Test
    void aHedgedAttemptStartsAtHalfTheAimOnAnotherEndpoint() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, SAFE, 1);
        b.until(990);
        assertEquals(1, b.sends.size());
        b.until(1010);
        assertEquals(2, b.sends.size());
        assertFalse(b.sends.get(0).endpoint() == b.sends.get(1).endpoint());
    }

    @Test
    void aHedgedAttemptGoesToTheOnlyEndpointIfThereIsNoOther() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, SAFE, 1);
        b.until(1010);
        assertEquals(2, b.sends.size());
    }

    @Test
    void theFirstDeliveryCancelsTheOtherAttempts() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, SAFE, 1);
        b.until(1010);
        b.end(1, 1, AttemptOutcome.DELIVERED);
        assertEquals(List.of("1/0"), b.cancels);
        b.end(1, 0, AttemptOutcome.CANCELLED);
        b.until(20_000);
        assertEquals(2, b.sends.size());
        assertTrue(b.answers.isEmpty());
    }

    @Test
    void noNewWaveStartsWhileAnAttemptIsOut() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, SAFE, 1);
        b.until(1010);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.until(1900);
        assertEquals(2, b.sends.size());
        b.end(1, 1, AttemptOutcome.ERROR);
        b.until(2600);
        assertEquals(3, b.sends.size());
    }

    @Test
    void hedgedAttemptsAreLimitedToOneAndATenthOfFirstAttempts() {
        PolicyHarness b = new PolicyHarness();
        for (int i = 0; i < 5; i++) {
            b.list(i, 10 + 2 * i, 11 + 2 * i);
        }
        for (int i = 0; i < 5; i++) {
            b.accept(i, SAFE, i);
        }
        b.until(1900);
        assertEquals(6, b.sends.size(), "five first attempts allow 1.5 hedged ones, so one");
    }

    @Test
    void noHedgedAttemptWithoutAFreeSlot() {
        PolicyHarness b = new PolicyHarness(2);
        b.list(1, 10, 11);
        b.list(2, 20);
        b.accept(1, SAFE, 1);
        b.accept(2, SAFE, 2);
        b.until(1900);
        assertEquals(2, b.sends.size());
    }

    @Test
    void anUnsafeMessageIsNotHedged() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, UNSAFE, 1);
        b.until(5000);
        assertEquals(1, b.sends.size());
    }

    @Test
    void quickErrorsDoNotUseUpAllAttempts() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.ERROR, 10);
        b.accept(1, SAFE, 1);
        b.until(1000);
        assertTrue(b.sends.size() >= 2 && b.sends.size() <= 5, "sends " + b.sends.size());
    }

    // ---- answers, repeats, windows and order ----

    @Test
    void everyMessageGetsOneFinalAnswerInTime() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, SAFE, 9);
        b.accept(2, UNSAFE, 1);
        b.until(15_990);
        assertTrue(b.answers.isEmpty());
        b.until(16_020);
        assertEquals(List.of("refuse 1"), b.answers, "no attempt ran; the other message still has one out");
        b.end(2, 0, AttemptOutcome.TIMED_OUT);
        assertEquals(List.of("refuse 1", "fail 2"), b.answers);
        b.until(40_000);
        assertEquals(2, b.answers.size());
        assertEquals(1, b.sends.size());
    }

    @Test
    void anUnsafeMessageIsRepeatedOnlyIfItNeverRan() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, UNSAFE, 1);
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
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, KEYED, 1);
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
        PolicyHarness b = new PolicyHarness();
        b.entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        b.accept(1, BY_ZONE, 1);
        long first = b.sends.get(0).endpoint();
        b.until(1010);
        b.end(1, 0, AttemptOutcome.TIMED_OUT);
        b.until(3000);
        assertTrue(b.sends.size() >= 2);
        assertTrue(b.sends.stream().allMatch(s -> s.endpoint() == first));
    }

    @Test
    void aMessageThatMayHaveRunInItsZoneFailsAndIsNotRefused() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, BY_ZONE, 1);
        b.onSend = s -> b.endLater(s, AttemptOutcome.ERROR, 5);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.until(16_100);
        assertEquals(List.of("fail 1"), b.answers);
    }

    @Test
    void nothingNewIsSentToADrainingOrRemovedEndpoint() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.entry(10, 1, 0, 0, false);
        b.until(5000);
        assertEquals(1, b.sends.size());
        b.policy.endpointsChanged(b.now, true, List.of());
        b.accept(2, SAFE, 1);
        b.until(6000);
        assertEquals(1, b.sends.size());
    }

    @Test
    void aRequestedDelayStopsEverySendToTheDestination() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 700);
        b.accept(2, UNSAFE, 1);
        b.accept(3, KEYED, 1);
        b.until(700);
        assertEquals(1, b.sends.size());
        b.until(4000);
        assertTrue(b.sends.size() > 1);
    }

    /** Guards against keeping only the delay requested for the first message of a shared call (found on menu-delivery big-2). */
    @Test
    void eachMessageOfACallMayHaveItsOwnRequestedDelay() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 1, 0, true);
        b.acceptTogether(2, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 0);
        b.end(2, 0, AttemptOutcome.FULL, 3000);
        b.until(3000);
        assertEquals(2, b.sends.size());
    }

    @Test
    void aRequestedDelayAppliesToOneRouteIfRoutesAreSeparate() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 2, 0, true).entry(11, 1, 2, 0, true);
        b.accept(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 5000);
        b.until(900);
        assertEquals(2, b.sends.size());
        assertFalse(b.sends.get(0).endpoint() == b.sends.get(1).endpoint());
    }

    @Test
    void messagesOfOneKeyGoOneByOneInOrderWithAPauseAfterATimeOut() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, UNSAFE, 1, "k");
        b.accept(2, UNSAFE, 1, "k");
        b.accept(3, UNSAFE, 1, "other");
        assertEquals(List.of(1L, 3L), b.sent());
        b.end(1, 0, AttemptOutcome.TIMED_OUT);
        b.until(490);
        assertEquals(List.of(1L, 3L), b.sent());
        b.until(600);
        assertEquals(List.of(1L, 3L, 2L), b.sent());
    }

    @Test
    void aWithdrawnMessageWithAnOpenAttemptStillBlocksItsKey() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.accept(1, UNSAFE, 1, "k");
        b.accept(2, UNSAFE, 1, "k");
        b.policy.messageWithdrawn(b.now, 1);
        b.until(300);
        assertEquals(List.of(1L), b.sent());
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(List.of(1L, 2L), b.sent());
    }

    // ---- send rate and health ----

    @Test
    void aRefusalLimitsTheSendRateAndDeliveriesRaiseIt() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 5);
        for (int i = 0; i < 8; i++) {
            b.accept(i, SAFE, 1);
        }
        b.until(100);
        assertEquals(8, b.sends.size(), "no rate limit before the first refusal");
        b.onSend = s -> { };
        b.accept(50, SAFE, 1);
        b.end(50, 0, AttemptOutcome.FULL);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 5);
        for (int i = 100; i < 160; i++) {
            b.accept(i, SAFE, 1);
        }
        double start = b.now;
        b.until(start + 1000);
        int early = b.sends.size() - 9;
        assertTrue(early >= 4 && early <= 16, "sent at the reduced rate: " + early);
        b.until(start + 4000);
        assertTrue(b.sends.size() - 9 > 5 * early, "the rate recovers slowly");
    }

    @Test
    void aSilentEndpointGetsSingleProbesInsteadOfItsBacklog() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        for (int i = 0; i < 40; i++) {
            b.accept(i, SAFE, 1);
            b.until(b.now + 100);
        }
        int before = b.sends.size();
        b.until(b.now + 4000);
        assertTrue(b.sends.size() <= before + 3, "sent " + (b.sends.size() - before));
    }

    /** Guards against treating an endpoint that answers after some seconds as silent (found in incident ia7b522). */
    @Test
    void aSlowAnswerEndsTheSilentState() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        b.accept(1, UNSAFE, 1);
        b.accept(2, UNSAFE, 1);
        b.until(1500);
        b.accept(3, UNSAFE, 1);
        assertEquals(2, b.sends.size(), "silent, so nothing of the backlog is sent");
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(3, b.sends.size());
    }

    @Test
    void aRecoveringDestinationIsNotOverloaded() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(100, SAFE, 1, 20_000);
        b.onSend = s -> b.endLater(s, AttemptOutcome.UNREACHABLE, 20);
        b.acceptEvery(100, SAFE, 1, 30_000);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(100, SAFE, 1, 45_000);
        for (double from = 30_000; from + 1500 <= 42_000; from += 250) {
            double end = from + 1500;
            double capacity = 10 * 1.5 * (0.2 + 0.8 * Math.min(1, (from - 30_000) / 12_000));
            long sent = b.sends.stream().filter(s -> s.at() >= end - 1500 && s.at() < end).count();
            assertTrue(sent <= 2 * capacity, "sent " + sent + " from " + from);
        }
    }

    /** Guards against single reset connections that keep an endpoint in slow start for ever (found in incident if1c477). */
    @Test
    void occasionalLostCallsDoNotKeepAnEndpointInSlowStart() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        b.onSend = s -> b.endLater(s, b.sends.size() % 4 == 0 ? AttemptOutcome.BROKEN : AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(200, SAFE, 1, 30_000);
        long last = b.sends.stream().filter(s -> s.at() > 20_000).count();
        assertTrue(last >= 50, "sends in the last ten seconds: " + last);
    }

    /** Guards against never probing a route that was down while another one is healthy (found on menu-delivery rough-2). */
    @Test
    void anEndpointThatIsDownIsProbedEvenIfAnotherIsHealthy() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10, 11);
        b.onSend = s -> b.endLater(s, s.endpoint() == 10 && b.now < 5000 ? AttemptOutcome.UNREACHABLE
                : AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(100, SAFE, 1, 40_000);
        assertTrue(b.sends.stream().filter(s -> s.endpoint() == 10 && s.at() > 30_000).count() > 10);
    }

    /**
     * Guards against a few slow destinations that occupy all slots (found in incident ia7b522), or two each of a sender's three
     * slots (found in incident i1afe34).
     */
    @Test
    void aDestinationOccupiesOneOfThreeSlots() {
        PolicyHarness b = new PolicyHarness(3).list(1, 10).list(2, 20);
        b.accept(1, SAFE, 1);
        b.accept(2, SAFE, 1);
        b.accept(3, SAFE, 2);
        assertEquals(List.of(1L, 3L), b.sent());
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(List.of(1L, 3L, 2L), b.sent());
    }

    @Test
    void aDestinationLeavesSlotsForOthers() {
        PolicyHarness b = new PolicyHarness(10).list(1, 10).list(2, 20);
        for (long id = 0; id < 20; id++) {
            b.accept(id, SAFE, 1);
        }
        assertEquals(5, b.sends.size());
        b.accept(50, SAFE, 2);
        assertEquals(6, b.sends.size());
    }

    /** Guards against idle slots while a fast destination has a queue: a quarter of the slots was unused on a reload day. */
    @Test
    void aFastDestinationMayOccupyAllSlotsButOneUntilACallIsOverdue() {
        PolicyHarness b = new PolicyHarness(10).list(1, 10).list(2, 20);
        b.accept(0, SAFE, 1);
        b.end(0, 0, AttemptOutcome.DELIVERED);
        for (long id = 1; id <= 20; id++) {
            b.accept(id, SAFE, 1);
        }
        assertEquals(1 + 9, b.sends.size());
        b.accept(50, SAFE, 2);
        assertEquals(1 + 10, b.sends.size(), "one slot is left for others");
        b.until(700);
        b.end(50, 0, AttemptOutcome.DELIVERED);
        b.end(1, 0, AttemptOutcome.DELIVERED);
        assertEquals(1 + 11, b.sends.size());
        b.until(900);
        b.end(2, 0, AttemptOutcome.DELIVERED);
        assertEquals(1 + 11, b.sends.size(), "the calls that are out may never be answered");
    }

    /** Guards against a slow start at one call a second while the process knows of no demand yet (found on a reload day). */
    @Test
    void slowStartBeginsWithTheSendersShareOfTheListedRate() {
        PolicyHarness b = new PolicyHarness(100);
        b.listedRate = 40;
        b.list(1, 10);
        b.policy.healthRestored(b.now, 10, new DeliveryPolicy.Health(DeliveryPolicy.State.DOWN, 0, 0));
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        for (long id = 1; id <= 100; id++) {
            b.restoreInIteration(id, SAFE, 1, 12_000, List.of());
        }
        b.policy.endIteration(b.now);
        b.until(6000);
        assertTrue(b.sends.size() >= 15 && b.sends.size() <= 40, "sent in 6 s: " + b.sends.size());
    }

    /** Guards against a slow start of one call in seven seconds if nothing was delivered before the outage (incident i119abc). */
    @Test
    void slowStartAfterAnOutageAtStartupFollowsTheAcceptedMessages() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        b.onSend = s -> b.endLater(s, b.now < 6000 ? AttemptOutcome.UNREACHABLE : AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(200, SAFE, 1, 14_000);
        long sent = b.sends.stream().filter(s -> s.at() > 8000).count();
        assertTrue(sent >= 10, "sent in six seconds: " + sent);
    }

    /** Guards against a rate limit that grows to forty times the actual rate between requested delays (incident i8f4fa9). */
    @Test
    void theSendRateSettlesNearALimitThatRequestsDelays() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        double[] room = {2, 0};
        b.onSend = s -> {
            room[0] = Math.min(2, room[0] + (b.now - room[1]) * 5 / 1000);
            room[1] = b.now;
            boolean withinLimit = room[0] >= 1;
            room[0] -= withinLimit ? 1 : 0;
            b.at(b.now + 20, () -> b.end(s.message(), s.attempt(), withinLimit ? AttemptOutcome.DELIVERED : AttemptOutcome.FULL,
                    withinLimit ? 0 : 2000));
        };
        b.acceptEvery(125, SAFE, 1, 60_000);
        long delivered = b.delivered();
        assertTrue(delivered >= 0.6 * 5 * 60, "delivered in a minute at five a second: " + delivered);
    }

    /** Guards against senders that stay at their lowest rate long after the refusals end (eight senders, incident i40f4ff). */
    @Test
    void theSendRateOfManySendersRecoversWhenRefusalsEnd() {
        PolicyHarness b = new PolicyHarness(100, 8);
        b.listedRate = 16;
        b.list(1, 10);
        b.onSend = s -> b.endLater(s, b.now < 8000 && b.sends.size() % 3 > 0 ? AttemptOutcome.FULL
                : AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(400, SAFE, 1, 40_000);
        long late = b.sends.stream().filter(s -> s.at() > 20_000 && s.at() < 30_000).count();
        assertTrue(late >= 22, "sent in ten seconds: " + late);
    }

    /** Guards against eleven senders that each keep a minimum rate of their own at a shut destination (incident ie9f35c). */
    @Test
    void theMinimumSendRateFollowsTheSendersShareOfTheLoad() {
        PolicyHarness b = new PolicyHarness(100, 11).list(1, 10);
        b.onSend = s -> b.endLater(s, AttemptOutcome.FULL, 5);
        b.acceptEvery(500, SAFE, 1, 10_000);
        long sent = b.sends.stream().filter(s -> s.at() > 2000).count();
        assertTrue(sent <= 8, "sent in eight seconds: " + sent);
    }

    /** Guards against a few senders that fall below their share of the listed rate after refusals (found on akl-order-route). */
    @Test
    void aListedRateKeepsTheSendRateNearTheSendersShare() {
        PolicyHarness b = new PolicyHarness(100, 2);
        b.listedRate = 8;
        b.list(1, 10);
        b.onSend = s -> b.endLater(s, b.sends.size() % 3 > 0 ? AttemptOutcome.FULL : AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(500, SAFE, 1, 20_000);
        long sent = b.sends.stream().filter(s -> s.at() > 5000 && s.at() < 15_000).count();
        assertTrue(sent >= 15, "sent in ten seconds: " + sent);
    }

    /** Guards against a burst that halves a slow destination's rate for ten seconds (found on days in service). */
    @Test
    void aReportedRateKeepsTheSendRateNearTheSendersShare() {
        assertTrue(sentAfterARefusal(16, 16) >= 6, "eight a second each, as reported: " + sentAfterARefusal(16, 16));
        for (double invalid : new double[] {0, Double.NaN, Double.POSITIVE_INFINITY, -16}) {
            assertEquals(sentAfterARefusal(0, 0), sentAfterARefusal(invalid, invalid), "reported " + invalid);
        }
        assertTrue(sentAfterARefusal(16, 1e9) <= 12, "one implausible value: " + sentAfterARefusal(16, 1e9));
    }

    /** Returns the attempts in the second after a refusal, with none of them answered. The refusal reports {@code last}. */
    private static int sentAfterARefusal(double reported, double last) {
        PolicyHarness b = new PolicyHarness(100, 2).list(1, 10);
        b.reportedRate = reported;
        b.accept(0, SAFE, 1);
        b.end(0, 0, AttemptOutcome.DELIVERED);
        b.accept(1, SAFE, 1);
        b.reportedRate = last;
        b.end(1, 0, AttemptOutcome.FULL);
        for (int i = 2; i < 60; i++) {
            b.accept(i, SAFE, 1);
        }
        int before = b.sends.size();
        b.until(1000);
        return b.sends.size() - before;
    }

    /** Guards against unanswered calls that occupy all slots until their time-outs (found on the long day). */
    @Test
    void unansweredCallsGiveTheirSlotsToWaitingMessages() {
        for (int type : List.of(SAFE, UNSAFE)) {
            PolicyHarness b = new PolicyHarness(4, 2);
            b.strict = true;
            for (int d = 1; d <= 5; d++) {
                b.list(d, 10 * d);
            }
            b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
            for (int i = 0; i < 100; i++) {
                b.accept(i, SAFE, 1 + i % 5);
                b.until(b.now + 25);
            }
            b.onSend = s -> {
                if (s.endpoint() == 50) {
                    b.endLater(s, AttemptOutcome.DELIVERED, 20);
                }
            };
            for (int i = 100; i < 104; i++) {
                b.accept(i, type, i - 99);
            }
            double start = b.now;
            b.until(start + 250);
            b.acceptEvery(20, SAFE, 5, start + 900);
            long sent = b.sends.stream().filter(s -> s.at() > start && s.endpoint() == 50).count();
            assertEquals(type == SAFE, sent > 10, "sent to the endpoint that answers: " + sent);
        }
    }

    /** Guards against a slow start of twelve seconds after a single reset connection (found on the long day). */
    @Test
    void oneFailedConnectIsNoOutage() {
        for (AttemptOutcome lost : List.of(AttemptOutcome.UNREACHABLE, AttemptOutcome.ERROR)) {
            PolicyHarness b = new PolicyHarness(100, 2).list(1, 10);
            b.onSend = s -> b.endLater(s, s.at() > 4000 && s.at() < 4100 ? lost : AttemptOutcome.DELIVERED, 20);
            b.acceptEvery(10, SAFE, 1, 5000);
            int before = b.sends.size();
            b.acceptEvery(10, SAFE, 1, 6000);
            int sent = b.sends.size() - before;
            assertEquals(lost == AttemptOutcome.UNREACHABLE, sent > 80, lost + ": sent in a second: " + sent);
        }
    }

    /** Guards against removed endpoints that take a share of a recovering endpoint's rate (found on the long day). */
    @Test
    void removedEndpointsHaveNoShareOfASlowStart() {
        int one = sentInASlowStart(1);
        int forty = sentInASlowStart(40);
        assertTrue(one > 10, "sent in ten seconds: " + one);
        assertTrue(forty > 0.7 * one, "after forty others: " + forty + " of " + one);
    }

    /** Replaces a number of endpoints one by one; the last one is new, fails at first, and goes through a slow start. */
    private static int sentInASlowStart(int others) {
        PolicyHarness b = new PolicyHarness(100, 2);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        for (int i = 0; i < others; i++) {
            b.list(1, 100 + i);
            b.acceptEvery(50, SAFE, 1, b.now + 40_000.0 / others);
            b.remove(100 + i, 1);
        }
        b.list(1, 10);
        b.onSend = s -> b.endLater(s, s.at() < 43_000 ? AttemptOutcome.UNREACHABLE : AttemptOutcome.DELIVERED, 20);
        b.acceptEvery(50, SAFE, 1, 44_000);
        int before = b.sends.size();
        b.acceptEvery(50, SAFE, 1, 54_000);
        return b.sends.size() - before;
    }

    /** A message is not given up while its destination has no endpoint, because one may still be listed. */
    @Test
    void aRefusedMessageStaysPendingWhileItsDestinationHasNoEndpoint() {
        PolicyHarness b = new PolicyHarness(100, 2).list(1, 10);
        b.remove(10, 1);
        b.until(40_000);
        b.list(2, 20);
        b.restore(1, SAFE, 1, 10_000, List.of(new DeliveryPolicy.PreviousAttempt(10, 39_000, false)));
        b.until(41_000);
        assertTrue(b.answers.isEmpty(), b.answers.toString());
        b.list(1, 11);
        b.until(42_000);
        assertTrue(b.sent().contains(1L));
    }

    /** Guards against a minimum rate that is divided among two hundred senders: a call a minute on menu-delivery-later. */
    @Test
    void aRefusedMessageOfASmallSenderIsRetriedWithinASecond() {
        PolicyHarness b = new PolicyHarness(3, 200).list(1, 10);
        b.onSend = s -> b.endLater(s, s.attempt() == 0 ? AttemptOutcome.FULL : AttemptOutcome.DELIVERED, 5);
        for (int id = 1; id <= 3; id++) {
            b.accept(id, SAFE, 1);
            b.until(id * 15_000 + 1000);
            assertEquals(id, b.delivered());
            b.until(id * 15_000 + 15_000);
        }
    }

    /** Guards against senders that all come back at the moment a requested delay ends (found on menu-delivery-later). */
    @Test
    void sendersWithTheSameRequestedDelayDoNotAllComeBackAtOnce() {
        int early = 0;
        for (int seed = 0; seed < 40; seed++) {
            PolicyHarness b = new PolicyHarness(3, 200, seed).list(1, 10);
            b.accept(1, SAFE, 1);
            b.end(1, 0, AttemptOutcome.FULL, 8000);
            b.until(9000);
            early += b.sends.size() - 1;
        }
        assertTrue(early <= 8, "of forty senders, back within a second: " + early);
    }

    /** Guards against overloading a hung endpoint that refuses most of its calls (found on menu-delivery-later). */
    @Test
    void refusalsAndFailuresTogetherMarkAnEndpointAsDown() {
        PolicyHarness b = new PolicyHarness(3, 200).list(1, 10);
        b.onSend = s -> b.endLater(s, b.sends.size() % 3 > 0 ? AttemptOutcome.FULL : AttemptOutcome.ERROR, 300);
        b.acceptEvery(2000, SAFE, 1, 20_000);
        long late = b.sends.stream().filter(s -> s.at() > 6000).count();
        assertTrue(late <= 2, "sent to an endpoint that never delivers: " + late);
    }

    /** Guards against retries of refused messages that keep the limit used up for good (found on menu-delivery-later). */
    @Test
    void retriesOfRefusedMessagesAreLimitedToAShareOfFirstAttempts() {
        PolicyHarness b = new PolicyHarness(100, 50);
        for (long destination = 0; destination < 100; destination++) {
            b.list(destination, destination);
        }
        b.onSend = s -> b.endLater(s, AttemptOutcome.FULL, 5);
        for (long id = 0; id < 100; id++) {
            b.accept(id, SAFE, id);
            b.until(b.now + 100);
        }
        assertTrue(b.sends.size() <= 132, "sends of a hundred messages: " + b.sends.size());
        assertTrue(b.sends.size() >= 120, "sends of a hundred messages: " + b.sends.size());
    }

    @Test
    void messagesOfOneIterationShareACallAndItsSlot() {
        PolicyHarness b = new PolicyHarness(1).entry(10, 1, 1, 0, true);
        b.acceptTogether(5, SAFE, 1);
        assertEquals(5, b.sends.size());
    }

    @Test
    void aCheaperRouteIsPreferred() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 2, 1, true).entry(11, 1, 2, 0, true);
        b.accept(1, SAFE, 1);
        assertEquals(11, b.sends.get(0).endpoint());
    }

    /** Guards against senders that keep using a hung route beside a working one (hunt --rules on menu-delivery-later). */
    @Test
    void anEndpointWhoseLastAttemptFailedIsChosenAfterTheOther() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 2, 0, true).entry(11, 1, 2, 1, true);
        b.accept(1, UNSAFE, 1);
        b.end(1, 0, AttemptOutcome.DELIVERED);
        b.accept(2, UNSAFE, 1);
        assertEquals(10, b.sends.get(1).endpoint());
        b.end(2, 0, AttemptOutcome.FULL);
        b.until(2000);
        b.accept(3, UNSAFE, 1);
        assertEquals(List.of(11L, 11L), b.sends.stream().skip(2).map(PolicyHarness.SentAttempt::endpoint).toList());
    }

    /**
     * Guards against sending on idle connections that were dropped without notice (found on ensemble-bokning-later and
     * menu-delivery-later).
     */
    @Test
    void afterLossesOnIdleConnectionsAtTwoDestinationsOtherIdleOnesAreClosed() {
        PolicyHarness b = new PolicyHarness().list(1, 10).list(2, 20).list(3, 30);
        for (long id = 1; id <= 3; id++) {
            b.accept(id, UNSAFE, id);
            b.end(id, 0, AttemptOutcome.DELIVERED);
        }
        b.until(4000);
        for (long id = 4; id <= 5; id++) {
            b.accept(id, UNSAFE, id - 3);
            b.end(id, 0, AttemptOutcome.BROKEN);
            assertTrue(b.idleCloses.isEmpty());
        }
        b.accept(6, UNSAFE, 3);
        assertEquals(List.of(30L), b.idleCloses);
        assertEquals(6, b.sends.size());
    }

    @Test
    void aNewInstanceSendsAtOnce() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, UNSAFE, 1);
        assertEquals(1, b.sends.size());
    }

    // ---- misuse ----

    @Test
    void misuseThrowsAndStaleEventsAreIgnored() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, SAFE, 1);
        assertThrows(IllegalArgumentException.class, () -> b.end(7, 0, AttemptOutcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> b.end(1, 3, AttemptOutcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> b.accept(1, SAFE, 1));
        assertThrows(IllegalArgumentException.class, () -> b.accept(2, 17, 1));
        assertThrows(IllegalArgumentException.class, () -> b.policy.wake(b.now - 1));
        b.policy.messageWithdrawn(b.now, 99);
        b.policy.wake(b.now);
    }

    // ---- random sequences against all rules ----

    @Test
    void randomEventsKeepTheRules() {
        for (int seed = 0; seed < 30; seed++) {
            new RandomSequence(seed).run();
        }
    }

    /** A random sequence of attempt ends, drains and withdrawals, by seed. The harness checks the rules at each action. */
    private static final class RandomSequence {
        private final Random random;
        private final PolicyHarness b;

        RandomSequence(int seed) {
            random = new Random(seed);
            b = new PolicyHarness(4 + seed % 5);
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
                b.accept(id, type, random.nextInt(4), "k" + random.nextInt(5));
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
            b.assertAllAnswered();
        }
    }

    // ---- across restarts ----

    private static PolicyHarness restored(int type, double leftMs, DeliveryPolicy.PreviousAttempt... earlier) {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.until(20_000);
        b.restore(1, type, 1, leftMs, List.of(earlier));
        return b;
    }

    private static DeliveryPolicy.PreviousAttempt earlier(double agoMs, boolean mayHaveRun) {
        return new DeliveryPolicy.PreviousAttempt(10, 20_000 - agoMs, mayHaveRun);
    }

    @Test
    void attemptsOfThePreviousProcessOccupyNoSlotAndNumberingContinues() {
        PolicyHarness b = restored(SAFE, 9000, earlier(500, true), earlier(100, false));
        assertEquals(List.of(1L), b.sent());
        b.end(1, 2, AttemptOutcome.DELIVERED);
        assertTrue(b.answers.isEmpty());
        for (long id = 2; id <= 6; id++) {
            b.accept(id, SAFE, 1);
        }
        assertTrue(b.sends.size() >= 5, "no slot is lost to attempts that were out when the process ended");
    }

    @Test
    void aKeyedMessageIsRepeatedAfterARestartOnlyWithinItsWindow() {
        assertEquals(List.of(1L), restored(KEYED, 9000, earlier(1000, true)).sent());
        PolicyHarness late = restored(KEYED, 9000, earlier(4000, true));
        assertTrue(late.sends.isEmpty());
        assertEquals(List.of("fail 1"), late.answers, "given up at once, not at its deadline");
        assertEquals(List.of(1L), restored(KEYED, 9000, earlier(4000, false)).sent());
    }

    /**
     * Guards against refusing a message with an earlier attempt near the end of its window: it then came to another sender,
     * which knew of no attempt and sent it after the window (found on a split day).
     */
    @Test
    void aKeyedMessageThatMayHaveRunIsNotRefused() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, KEYED, 1);
        b.end(1, 0, AttemptOutcome.TIMED_OUT);
        b.entry(10, 1, 0, 0, false);
        b.accept(2, KEYED, 1);
        b.until(16_000);
        assertEquals(List.of("fail 1", "refuse 2"), b.answers, "a message without an attempt may be submitted anywhere again");
    }

    @Test
    void aKeyedMessageFailsWhenItsWindowHasPassed() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, KEYED, 1);
        b.end(1, 0, AttemptOutcome.ERROR);
        b.entry(10, 1, 0, 0, false);
        b.until(3650);
        assertTrue(b.answers.isEmpty());
        b.until(3750);
        assertEquals(List.of("fail 1"), b.answers, "not only at its deadline");
    }

    @Test
    void anOutageBeforeTheRestartContinuesWithProbes() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.until(20_000);
        b.policy.healthRestored(b.now, 10, new DeliveryPolicy.Health(DeliveryPolicy.State.DOWN, 15_000, 0));
        for (long id = 1; id <= 12; id++) {
            b.restoreInIteration(id, SAFE, 1, 9000, List.of(earlier(1000, false)));
        }
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 100);
        b.policy.endIteration(b.now);
        b.until(23_000);
        assertTrue(b.sends.size() >= 1 && b.sends.size() <= 6, "sent in 3 s: " + b.sends.size());
        b.until(29_100);
        b.assertAllAnswered();
    }

    /**
     * Guards against treating a backlog that waited for slots as an outage, with probes and a slow start of 12 s (found on a
     * reload day).
     */
    @Test
    void aBacklogAloneIsNoOutage() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.until(20_000);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 100);
        for (long id = 1; id <= 12; id++) {
            b.restoreInIteration(id, SAFE, 1, 9000, id % 2 == 0 ? List.of() : List.of(earlier(1000, false)));
        }
        b.policy.endIteration(b.now);
        b.until(21_000);
        assertEquals(12, b.sends.size());
    }

    @Test
    void aSlowStartContinuesAfterARestartWithTheRateCarriedBefore() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.until(20_000);
        // Restored before the endpoint is listed.
        b.policy.healthRestored(b.now, 20, new DeliveryPolicy.Health(DeliveryPolicy.State.WARMING, 11_000, 0.02));
        b.list(2, 20);
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        for (long id = 1; id <= 60; id++) {
            b.restoreInIteration(id, SAFE, 2, 9000, List.of());
        }
        b.policy.endIteration(b.now);
        b.until(21_000);
        assertTrue(b.sends.size() >= 15 && b.sends.size() <= 35, "sent in 1 s: " + b.sends.size());
        b.until(24_000);
        assertEquals(60, b.sends.size(), "slow start is over after three more seconds");
    }

    @Test
    void changesOfHealthAreSavedForTheNextProcess() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.accept(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.UNREACHABLE);
        assertEquals(DeliveryPolicy.State.DOWN, b.health.get(10L).state());
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        b.until(5000);
        assertEquals(DeliveryPolicy.State.WARMING, b.health.get(10L).state());
        double since = b.health.get(10L).since();
        assertTrue(since > 0 && since < 5000);
        b.until(15_000);
        b.accept(2, SAFE, 1);
        b.until(15_100);
        assertEquals(DeliveryPolicy.State.UP, b.health.get(10L).state());
    }

    @Test
    void aRefusalReportsTheRequestedDelayOfTheDestination() {
        PolicyHarness b = new PolicyHarness().list(1, 10).list(2, 20);
        b.accept(1, SAFE, 1);
        b.end(1, 0, AttemptOutcome.FULL, 5000);
        b.restore(2, SAFE, 1, -1, List.of());
        b.restore(3, SAFE, 2, -1, List.of());
        assertEquals(List.of("refuse 2", "refuse 3"), b.answers);
        assertTrue(b.refusalDelays.get(0) >= 5000, "at least the requested delay");
        assertEquals(0, b.refusalDelays.get(1));
    }

    @Test
    void repeatsStayInTheirZoneAfterARestart() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        b.until(20_000);
        b.restore(1, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.PreviousAttempt(11, 19_900, true)));
        assertEquals(11, b.sends.get(0).endpoint());
        b.restore(2, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.PreviousAttempt(99, 19_900, true)));
        assertEquals(List.of("fail 2"), b.answers, "the zone of an endpoint that was removed is not known");
    }

    @Test
    void anUnsafeMessageThatMayHaveRunFailsAfterARestart() {
        PolicyHarness b = restored(UNSAFE, 9000, earlier(100, true));
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("fail 1"), b.answers);
        assertEquals(List.of(1L), restored(UNSAFE, 9000, earlier(100, false)).sent());
    }

    @Test
    void attemptsOfAllProcessesCountTogether() {
        DeliveryPolicy.PreviousAttempt[] twelve = new DeliveryPolicy.PreviousAttempt[12];
        java.util.Arrays.fill(twelve, earlier(100, false));
        PolicyHarness b = restored(SAFE, 9000, twelve);
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("refuse 1"), b.answers);
    }

    @Test
    void anOverdueMessageIsAnsweredAtOnce() {
        PolicyHarness b = restored(SAFE, -100);
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("refuse 1"), b.answers);
    }

    @Test
    void aKeyInOrderPausesAfterARestartIfAnAttemptMayStillRun() {
        PolicyHarness b = restored(UNSAFE, 9000, earlier(100, true));
        b.accept(2, UNSAFE, 1, "key 1");
        b.until(20_490);
        assertTrue(b.sends.isEmpty());
        b.until(20_510);
        assertEquals(List.of(2L), b.sent());
    }

    /**
     * New messages are worth more here. An attempt that never connected, in this process or in the previous one, does not count
     * as tried, because no endpoint has seen the message.
     */
    @Test
    void aRestoredUntriedMessageGoesFirstUntilAnEndpointHasSeenIt() {
        PolicyHarness b = new PolicyHarness();
        b.policy.sendRateRestored(b.now, 1, DeliveryPolicy.ALL_ROUTES, new DeliveryPolicy.SendRate(0.001, 0));
        b.list(1, 10);
        b.restoreInIteration(9, SAFE, 1, 15_000, List.of(new DeliveryPolicy.PreviousAttempt(10, -500, false)));
        b.acceptTogether(3, UNSAFE, 1);
        untilSent(b, 1);
        assertEquals(List.of(9L), b.sent(), "before the new messages");
        b.end(9, 1, AttemptOutcome.UNREACHABLE);
        untilSent(b, 2);
        assertEquals(List.of(9L, 9L), b.sent(), "still before them");
        b.end(9, 2, AttemptOutcome.FULL);
        untilSent(b, 3);
        assertNotEquals(9L, b.sent().get(2), "ranked like any other from then on");
    }

    private static void untilSent(PolicyHarness b, int many) {
        while (b.sent().size() < many && b.now < 15_000) {
            b.until(b.now + 20);
        }
    }

    @Test
    void noCallStartsThatIsNotExpectedToEndBeforeTheShutdown() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.policy.shutdownScheduled(b.now, 3000);
        b.accept(1, SAFE, 1);
        assertEquals(List.of(1L), b.sent());
        b.accept(2, UNSAFE, 1);
        assertEquals(List.of(1L), b.sent(), "an unsafe message starts only if its whole time-out fits");
        b.until(2500);
        b.accept(3, SAFE, 1);
        b.until(6000);
        assertFalse(b.sent().contains(3L));
    }

    /** Guards against waiting for failures at each endpoint before a destination's calls are reduced (report a7d527). */
    @Test
    void twoFailuresInARowAtTwoEndpointsReduceTheThirdToProbes() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10, 11, 12);
        b.onSend = s -> b.endLater(s, AttemptOutcome.ERROR, 20);
        b.accept(1, SAFE, 1);
        b.until(400);
        assertEquals(2, b.sends.size());
        assertNotEquals(b.sends.get(0).endpoint(), b.sends.get(1).endpoint());
        for (long endpoint = 10; endpoint <= 12; endpoint++) {
            assertEquals(DeliveryPolicy.State.DOWN, b.health.get(endpoint).state(), "endpoint " + endpoint);
        }
    }

    @Test
    void oneMessageThatFailedBeforeTheRestartIsTriedBeforeTheBacklog() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10);
        b.until(20_000);
        for (long id = 1; id <= 8; id++) {
            b.restoreInIteration(id, SAFE, 1, 9000, List.of(earlier(1000, false)));
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

    /** Kind 2 has separate routes, so its limit is per endpoint. */
    @Test
    void aRestoredSendRateAppliesFromTheFirstAttempt() {
        for (boolean route : List.of(false, true)) {
            PolicyHarness b = new PolicyHarness();
            b.policy.sendRateRestored(b.now, 1, route ? 10 : DeliveryPolicy.ALL_ROUTES, new DeliveryPolicy.SendRate(0.001, 0));
            b.entry(10, 1, route ? 2 : 0, 0, true);
            b.acceptTogether(6, SAFE, 1);
            b.until(900);
            assertTrue(b.sends.size() <= 2, "one attempt a second: " + b.sends);
            b.until(2500);
            assertTrue(b.sends.size() >= 2, "sending continues: " + b.sends);
        }
        PolicyHarness unlimited = new PolicyHarness().list(1, 10);
        unlimited.acceptTogether(6, SAFE, 1);
        assertTrue(unlimited.sends.size() > 3, "without a rate only the slots limit them: " + unlimited.sends);
    }

    @Test
    void aSendRateIsSavedWhenItHasChangedMuch() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.acceptTogether(2, SAFE, 1);
        assertEquals(List.of(), b.savedRates);
        b.end(1, 0, AttemptOutcome.FULL);
        assertEquals(1, b.savedRates.size(), "the first refusal sets a rate");
        assertTrue(b.savedRates.get(0).perMs() < Double.POSITIVE_INFINITY);
        b.end(2, 0, AttemptOutcome.DELIVERED);
        assertEquals(1, b.savedRates.size(), "a small change is not saved: " + b.savedRates);
        b.until(2000);
        b.end(1, 1, AttemptOutcome.DELIVERED);
        b.until(90_000);
        b.accept(9, SAFE, 1);
        b.until(100_000);
        assertEquals(Double.POSITIVE_INFINITY, b.savedRates.get(b.savedRates.size() - 1).perMs(),
                "the rate of an idle destination is dropped");
    }
}
