package io.whinjunction.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Counts requests in progress, so that a stop can wait for them. Safe for all threads.
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
	 * Waits until nothing is in progress.
	 * @param limitMs how long at most
	 * @return what is still in progress
	 * @throws InterruptedException where the thread is interrupted
	 */
	int awaitNone(long limitMs) throws InterruptedException {
		this.lock.lock();
		try {
			long leftNs = TimeUnit.MILLISECONDS.toNanos(limitMs);
			while (this.count > 0 && leftNs > 0) {
				leftNs = this.changed.awaitNanos(leftNs);
			}
			return this.count;
		}
		finally {
			this.lock.unlock();
		}
	}

}
