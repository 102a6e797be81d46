package io.whinjunction.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.platform.ObjectStore.Instances;
import io.whinjunction.standins.BookingServer;
import io.whinjunction.standins.FakeObjectStore.Fault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests promises 3 and 4 through real entries against the counter of the booking service.
 */
class ActionOverHttpTests {

	private static LocalSystem system;

	@BeforeAll
	static void start() {
		system = new LocalSystem().engines(0).entries(2).configure();
	}

	@AfterAll
	static void stop() {
		system.close();
	}

	@AfterEach
	void resetFaults() {
		system.store().fault(Fault.NONE);
		system.booking().nextFault(BookingServer.Fault.NONE);
		LocalSystem.await(() -> HttpTestClient.get(system.entry(0).operatorPort(), "/readyz").status() == 200);
	}

	// Ten concurrent requests send the same booking to two entries. One runs it; every
	// other receives the first answer or the outcome "unknown".
	@Test
	void concurrentRequestsWithOneKeyAtTwoEntriesRunOnce() {
		List<CompletableFuture<HttpTestClient.Response>> answers = IntStream.range(0, 10)
			.mapToObj((i) -> CompletableFuture.supplyAsync(() -> book(i % 2, "twice", "twice-slot")))
			.toList();
		assertThat(answers).allSatisfy((answer) -> assertThat(answer.join().outcome()).isIn("answered", "unknown"));
		assertThat(answers).anySatisfy((answer) -> assertThat(answer.join().status()).isEqualTo(201));
		assertThat(system.booking().runs("twice-slot")).isEqualTo(1);
	}

	@Test
	void duringAPlatformOutageABookingIsReportedAsNotRunAndDoesNotRun() {
		system.store().fault(Fault.OUTAGE);
		HttpTestClient.Response answer = book(0, "outage", "outage-slot");
		assertThat(answer.status()).isEqualTo(503);
		assertThat(answer.outcome()).isEqualTo("not-run");
		assertThat(answer.header("retry-after")).isPresent();
		assertThat(system.booking().runs("outage-slot")).isZero();
		system.store().fault(Fault.NONE);
		assertThat(book(1, "outage", "outage-slot").status()).isEqualTo(201);
	}

	// Guards against a booking that stays blocked: the write of the claim takes effect,
	// its reply is lost and the platform becomes unavailable. The caller receives
	// "not-run", so the booking must still be possible later at any entry.
	@Test
	void aClaimWhoseReplyWasLostDoesNotBlockTheBookingPermanently() {
		system.store().fault(Fault.LOST_REPLY_THEN_OUTAGE);
		assertThat(book(0, "lost", "lost-slot").outcome()).isEqualTo("not-run");
		system.store().fault(Fault.NONE);
		LocalSystem.await(() -> book(1, "lost", "lost-slot").status() == 201);
		assertThat(system.booking().runs("lost-slot")).isEqualTo(1);
	}

	// The upstream runs the booking and its connection breaks before the response, so the
	// outcome cannot be determined: the caller receives "unknown", and a repetition is
	// not sent.
	@Test
	void aBookingWhoseResponseWasLostIsUnknownAndNeverSentAgain() {
		system.booking().nextFault(BookingServer.Fault.BREAK_AFTER_RUN);
		assertThat(book(0, "cut", "cut-slot").outcome()).isEqualTo("unknown");
		HttpTestClient.Response repeat = book(1, "cut", "cut-slot");
		assertThat(repeat.status()).isEqualTo(409);
		assertThat(repeat.outcome()).isEqualTo("unknown");
		assertThat(system.booking().runs("cut-slot")).isEqualTo(1);
	}

	@Test
	void aBookingWithoutAKeyIsWrittenOnceAlthoughOtherUpstreamsExist() {
		system.booking().nextFault(BookingServer.Fault.BREAK_AFTER_RUN);
		HttpTestClient.Response answer = HttpTestClient.post(system.entry(0).callerPort(),
				"/services/booking-api/bookings", "keyless-slot", "authorization", "Bearer key-1");
		assertThat(answer.outcome()).isEqualTo("unknown");
		assertThat(system.booking().runs("keyless-slot")).isEqualTo(1);
	}

	@Test
	void aKeyUsedWithAnotherBodyIsRefusedAndNotRun() {
		book(0, "reused", "first-slot");
		HttpTestClient.Response answer = book(1, "reused", "second-slot");
		assertThat(answer.status()).isEqualTo(422);
		assertThat(answer.outcome()).isEqualTo("not-run");
		assertThat(system.booking().runs("second-slot")).isZero();
	}

	// Two of three upstreams refuse connections. No byte was written to them, so trying
	// the next one is not a repetition.
	@Test
	void anUpstreamThatRefusesConnectionsIsSkipped() {
		Instance dead = new Instance("booking-poa-a", "booking-api", "127.0.0.1:1", "poa-a", "", false);
		Instance alsoDead = new Instance("booking-poa-b", "booking-api", "127.0.0.1:1", "poa-b", "", false);
		List<Instance> before = List.of(instance("booking-poa-a"), instance("booking-poa-b"));
		system.store().putInstance(dead);
		system.store().putInstance(alsoDead);
		LocalSystem.await(() -> HttpTestClient.get(system.entry(0).operatorPort(), "/upstreams")
			.body()
			.split("127.0.0.1:1\"").length > 2);
		for (int i = 0; i < 8; i++) {
			assertThat(book(0, "pass-" + i, "pass-slot-" + i).status()).isEqualTo(201);
			assertThat(system.booking().runs("pass-slot-" + i)).isEqualTo(1);
		}
		before.forEach(system.store()::putInstance);
	}

	private static Instance instance(String id) {
		return ((Instances.Listed) system.store().instances()).instances()
			.stream()
			.filter((instance) -> instance.id().equals(id))
			.findFirst()
			.orElseThrow();
	}

	private static HttpTestClient.Response book(int entry, String key, String slot) {
		return HttpTestClient.book(system.entry(entry).callerPort(), "key-1", key, slot);
	}

}
