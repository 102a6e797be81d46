package io.whinjunction.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.platform.ObjectStore.Write;

/**
 * Keeps that an action runs at most once, across entries, by a conditional create in the
 * object API.
 * <p>
 * The failures it is there for: two entries get the same action at the same time; an
 * entry dies between claim and answer; the reply to the claim's write is lost. The
 * platform lets one create win; a writer knows its own by its nonce when it reads back;
 * and a claim without an answer is never sent again by anybody else, since nobody can
 * tell whether its holder has sent it.
 * <p>
 * Invariants: {@link ClaimResult.Acquired} is given for an action at most once, unless the claim
 * was {@linkplain #release released} unsent; a claim given up unsent is taken back by
 * this process alone, once. Safe for all threads; calls block on the platform.
 */
public final class ActionClaims {

	/** Larger answers are not kept; a repeat of such an action is told so. */
	static final int MAX_KEPT_BODY_BYTES = 512 << 10;

	private static final int MAX_ABANDONED = 10_000;

	private static final int WRITE_TRIES = 2;

	private final ObjectStore store;

	private final Supplier<String> nonces;

	private final LongSupplier epochS;

	/** Nonces that may still turn up in the platform but never were sent with. */
	private final Map<String, Claim> abandoned = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Claim> eldest) {
			return size() > MAX_ABANDONED;
		}

	};

	/**
	 * Claims in a store.
	 * @param store the object API
	 * @param nonces a source of values that no other writer has
	 * @param epochS the wall clock in seconds, only to date claims for clearing up
	 */
	public ActionClaims(ObjectStore store, Supplier<String> nonces, LongSupplier epochS) {
		this.store = store;
		this.nonces = nonces;
		this.epochS = epochS;
	}

	/**
	 * Claims an action.
	 * @param action the action
	 * @param bodyHash the hash of what would be sent
	 * @return whether the caller may send it now
	 */
	public ClaimResult claim(ActionName action, String bodyHash) {
		String nonce = this.nonces.get();
		ClaimRecord record = new ClaimRecord(nonce, bodyHash, this.epochS.getAsLong(), null);
		for (int i = 0; i < WRITE_TRIES; i++) {
			switch (this.store.write(action.objectKey(), record.toJson(), ObjectStore.ABSENT)) {
				case Write.Written written -> {
					return new ClaimResult.Acquired(new Claim(action, nonce, bodyHash, written.version()));
				}
				case Write.Conflict ignored -> {
					return readBack(action, nonce, bodyHash);
				}
				case Write.Uncertain ignored -> {
					ClaimResult seen = readBack(action, nonce, bodyHash);
					if (!(seen instanceof ClaimResult.NotFound)) {
						return seen;
					}
					// Neither written nor refused as far as can be seen: the same nonce
					// again, so that a late effect of the first is still recognised.
				}
			}
		}
		abandon(new Claim(action, nonce, bodyHash, ObjectStore.ABSENT));
		return new ClaimResult.StoreUnavailable();
	}

	/**
	 * Keeps the answer of an action, for repeats.
	 * @param claim the claim it was sent under
	 * @param answer the answer
	 * @return whether the platform has it; where not, the claim stays without an answer
	 */
	public boolean recordAnswer(Claim claim, StoredAnswer answer) {
		StoredAnswer kept = (answer.body().length <= MAX_KEPT_BODY_BYTES) ? answer : tooLarge(answer);
		ClaimRecord record = new ClaimRecord(claim.nonce(), claim.bodyHash(), this.epochS.getAsLong(), kept);
		for (int i = 0; i < WRITE_TRIES; i++) {
			switch (this.store.write(claim.action().objectKey(), record.toJson(), claim.version())) {
				case Write.Written ignored -> {
					return true;
				}
				case Write.Conflict ignored -> {
					// Only an earlier try of ours can have changed a claim of ours.
					return true;
				}
				case Write.Uncertain ignored -> {
					// Conditional on the version, so trying again cannot do harm.
				}
			}
		}
		return false;
	}

	/**
	 * Gives a claim back that was certainly not sent.
	 * @param claim the claim
	 */
	public void release(Claim claim) {
		if (!(this.store.remove(claim.action().objectKey(), claim.version()) instanceof Write.Written)) {
			abandon(claim);
		}
	}

	/**
	 * Removes claims from the platform that were given up unsent. Called now and then.
	 * @return how many are still to be removed or watched for
	 */
	public int sweepAbandoned() {
		for (Claim claim : abandonedClaims()) {
			Read read = this.store.read(claim.action().objectKey());
			if (read instanceof Read.Found found && ClaimRecord.parse(found.value()).nonce().equals(claim.nonce())
					&& takeBack(claim.nonce()) != null
					&& !(this.store.remove(claim.action().objectKey(), found.version()) instanceof Write.Written)) {
				abandon(claim);
			}
		}
		return abandonedClaims().size();
	}

	private ClaimResult readBack(ActionName action, String nonce, String bodyHash) {
		return switch (this.store.read(action.objectKey())) {
			case Read.Found found -> judge(action, found, nonce, bodyHash);
			case Read.Absent ignored -> new ClaimResult.NotFound();
			case Read.Unavailable ignored -> new ClaimResult.NotFound();
		};
	}

	private ClaimResult judge(ActionName action, Read.Found found, String nonce, String bodyHash) {
		ClaimRecord record = ClaimRecord.parse(found.value());
		if (!record.bodyHash().equals(bodyHash)) {
			return new ClaimResult.BodyMismatch();
		}
		if (record.answer() != null) {
			return new ClaimResult.Answered(record.answer());
		}
		boolean ours = record.nonce().equals(nonce) || takeBack(record.nonce()) != null;
		return ours ? new ClaimResult.Acquired(new Claim(action, record.nonce(), bodyHash, found.version()))
				: new ClaimResult.InDoubt();
	}

	private static StoredAnswer tooLarge(StoredAnswer answer) {
		return new StoredAnswer(answer.status(), List.of(Map.entry("whin-body-kept", "no")), new byte[0]);
	}

	private synchronized void abandon(Claim claim) {
		this.abandoned.put(claim.nonce(), claim);
	}

	private synchronized Claim takeBack(String nonce) {
		return this.abandoned.remove(nonce);
	}

	private synchronized List<Claim> abandonedClaims() {
		return new ArrayList<>(this.abandoned.values());
	}

	/**
	 * What became of a claim.
	 */
	public sealed interface ClaimResult {

		/**
		 * The action may be sent, once, by whoever got this.
		 *
		 * @param claim the claim
		 */
		record Acquired(Claim claim) implements ClaimResult {
		}

		/**
		 * The action ran; this was its answer.
		 *
		 * @param answer the first answer
		 */
		record Answered(StoredAnswer answer) implements ClaimResult {
		}

		/**
		 * Somebody claimed it and no answer is known: it runs, ran, or never will.
		 */
		record InDoubt() implements ClaimResult {
		}

		/**
		 * The key was used with another body.
		 */
		record BodyMismatch() implements ClaimResult {
		}

		/**
		 * The platform did not take the claim: the action must not be sent.
		 */
		record StoreUnavailable() implements ClaimResult {
		}

		/**
		 * Nothing is seen there; internal.
		 */
		record NotFound() implements ClaimResult {
		}

	}

}
