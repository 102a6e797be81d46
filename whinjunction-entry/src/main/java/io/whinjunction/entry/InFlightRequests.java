package io.whinjunction.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Counts the requests in progress, so that a stop can wait for them. Thread-safe.
 */
final class InFlightRequests {

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private int count;

	void begin() {
		this.lock.lock();
		try {
			this.count++;
		}
		finally {
			this.lock.unlock();
		}
	}

	void end() {
		this.lock.lock();
		try {
			this.count--;
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	int count() {
		this.lock.lock();
		try {
			return this.count;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until no request is in progress.
	 * @param timeoutMs the maximum wait
	 * @return the number of requests still in progress
	 * @throws InterruptedException if the thread is interrupted
	 */
	int awaitNone(long timeoutMs) throws InterruptedException {
		this.lock.lock();
		try {
			long remainingNs = TimeUnit.MILLISECONDS.toNanos(timeoutMs);
			while (this.count > 0 && remainingNs > 0) {
				remainingNs = this.changed.awaitNanos(remainingNs);
			}
			return this.count;
		}
		finally {
			this.lock.unlock();
		}
	}

}
