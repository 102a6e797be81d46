package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Who waits for room, and who is refused.
 */
class RoomQueueTests {

	private final RoomQueue<String> queue = new RoomQueue<>();

	// Callers are lost after a restart of all routers: a hundred drafts come within a
	// second, there is room for none of them at first and for one each 20 ms from then
	// on.
	// Those whose turn comes in time wait and are served, all others are refused at once.
	@Test
	void aBacklogIsServedAsRoomIsFreedAndTheRestIsRefusedAtOnce() {
		int served = 0;
		int refused = 0;
		int expired = 0;
		for (long nowMs = 0; nowMs < 3000; nowMs += 10) {
			if (nowMs < 1000 && !this.queue.offer("r" + nowMs, 1, nowMs)) {
				refused++;
			}
			if (nowMs % 20 == 0) {
				this.queue.freed(nowMs);
				served += this.queue.first().isPresent() ? 1 : 0;
				this.queue.first().ifPresent(this.queue::remove);
			}
			expired += this.queue.expired(nowMs).size();
		}

		assertThat(served + refused).isEqualTo(100);
		assertThat(served).isGreaterThan(70);
		assertThat(expired).isZero();
	}

	@Test
	void moreUrgentOnesGoFirstAndEqualOnesInTheirOrder() {
		this.queue.offer("draft-1", 3, 0);
		this.queue.offer("draft-2", 3, 1);
		this.queue.offer("booking", 1, 2);

		List<String> order = new ArrayList<>();
		while (this.queue.first().isPresent()) {
			order.add(this.queue.first().get());
			this.queue.remove(order.getLast());
		}

		assertThat(order).containsExactly("booking", "draft-1", "draft-2");
	}

	@Test
	void nobodyWaitsLongerThanTheLimit() {
		this.queue.offer("a", 1, 0);

		assertThat(this.queue.expired(RoomQueue.MOST_WAIT_MS - 1)).isEmpty();
		assertThat(this.queue.expired(RoomQueue.MOST_WAIT_MS)).containsExactly("a");
		assertThat(this.queue.size()).isZero();
	}

	@Property
	void anUrgentRequestIsNotRefusedForLessUrgentOnes(
			@ForAll @Size(max = 200) List<@IntRange(min = 5, max = 9) Integer> ranks) {
		RoomQueue<Object> queue = new RoomQueue<>();
		ranks.forEach((rank) -> queue.offer(new Object(), rank, 0));

		assertThat(queue.offer(new Object(), 0, 0)).isTrue();
	}

}
