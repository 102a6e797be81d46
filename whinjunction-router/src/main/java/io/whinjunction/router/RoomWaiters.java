package io.whinjunction.router;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.RoomQueue;

/**
 * Lets the sessions in {@link RoomQueue} go on when there is room, and refuses those
 * whose turn did not come. Confined to the event loop.
 */
final class RoomWaiters {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The pause between two looks, in milliseconds: room that other routers free is heard
	 * of and not told.
	 */
	private static final long LOOK_MS = 20;

	/** A request without a rank waits among the middling ones. */
	private static final int USUAL_RANK = 5;

	private final RouterContext router;

	private final RoomQueue<ForwardSession> queue = new RoomQueue<>();

	private boolean looking;

	RoomWaiters(RouterContext router) {
		this.router = router;
	}

	/**
	 * Lets a session wait, where its turn is expected in time.
	 * @param session the session, for which there is no room now
	 * @return whether it waits; {@link ForwardSession#onRoom} or
	 * {@link ForwardSession#onNoRoom} is called unless it ends before
	 */
	boolean offer(ForwardSession session) {
		int rank = (session.priority() >= 0) ? session.priority() : USUAL_RANK;
		boolean waits = this.queue.offer(session, rank, this.router.nowMs());
		logger.atInfo()
			.log("event=room-wait id=%s waits=%s queued=%d rank=%d", session.request().id(), waits, this.queue.size(),
					rank);
		if (waits) {
			lookLater();
		}
		return waits;
	}

	/** A request of this router has left its engines. */
	void freed() {
		this.queue.freed(this.router.nowMs());
	}

	/**
	 * A session ended by itself.
	 * @param session the session
	 */
	void remove(ForwardSession session) {
		if (this.queue.size() > 0) {
			this.queue.remove(session);
		}
	}

	private void lookLater() {
		if (!this.looking) {
			this.looking = true;
			this.router.loop().schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void look() {
		this.looking = false;
		this.queue.expired(this.router.nowMs()).forEach(ForwardSession::onNoRoom);
		Optional<ForwardSession> first = this.queue.first();
		while (first.isPresent() && first.get().onRoom()) {
			this.queue.remove(first.get());
			first = this.queue.first();
		}
		if (this.queue.size() > 0) {
			lookLater();
		}
	}

}
