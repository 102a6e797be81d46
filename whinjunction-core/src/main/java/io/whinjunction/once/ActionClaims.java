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
 * Ensures that an action runs at most once across all entries, by a conditional create in
 * the object API.
 * <p>
 * Guards against these failures: two entries receive the same action at the same time; an
 * entry crashes between claim and answer; the reply to the write of the claim is lost.
 * The platform lets exactly one create succeed. A writer recognises its own claim by the
 * nonce when it reads it back. An action whose claim has no answer is never sent by
 * another process, since it is unknown whether the holder has sent it.
 * <p>
 * Invariants: {@link ClaimResult.Acquired} is returned for an action at most once, unless
 * the claim was {@linkplain #release released} unsent; a claim that was abandoned unsent
 * is reacquired only by this process, and once. Thread-safe; calls block on the platform.
 */
public final class ActionClaims {

	/** Larger bodies are not stored; the answer to a repeated action states that. */
	static final int MAX_KEPT_BODY_BYTES = 512 << 10;

	private static final int MAX_ABANDONED = 10_000;

	private static final int WRITE_TRIES = 2;

	private final ObjectStore store;

	private final Supplier<String> nonces;

	private final LongSupplier epochS;

	/**
	 * Abandoned claims by nonce: they may still appear in the platform, but nothing was
	 * sent under them.
	 */
	private final Map<String, Claim> abandoned = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Claim> eldest) {
			return size() > MAX_ABANDONED;
		}

	};

	/**
	 * Creates the claims of one process.
	 * @param store the object API
	 * @param nonces a source of values that no other writer uses
	 * @param epochS the wall clock in seconds, used only to date claims for their removal
	 */
	public ActionClaims(ObjectStore store, Supplier<String> nonces, LongSupplier epochS) {
		this.store = store;
		this.nonces = nonces;
		this.epochS = epochS;
	}

	/**
	 * Claims an action.
	 * @param action the action
	 * @param bodyHash the hash of the body to send
	 * @return whether the caller may send the action now
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
					// The write has neither visibly succeeded nor failed. It is repeated
					// with the same nonce, so that a late effect of the first try is
					// recognised.
				}
			}
		}
		abandon(new Claim(action, nonce, bodyHash, ObjectStore.ABSENT));
		return new ClaimResult.StoreUnavailable();
	}

	/**
	 * Stores the answer of an action for repeated requests.
	 * @param claim the claim under which it was sent
	 * @param answer the answer
	 * @return whether it was stored; if not, the claim remains without an answer
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
					// Only an earlier try of this process can have changed its claim.
					return true;
				}
				case Write.Uncertain ignored -> {
					// The write is conditional on the version, so repeating it is safe.
				}
			}
		}
		return false;
	}

	/**
	 * Releases a claim under which certainly nothing was sent.
	 * @param claim the claim
	 */
	public void release(Claim claim) {
		if (!(this.store.remove(claim.action().objectKey(), claim.version()) instanceof Write.Written)) {
			abandon(claim);
		}
	}

	/**
	 * Removes claims from the platform that were abandoned unsent. Called periodically.
	 * @return how many are left: not yet removed, or possibly still to appear
	 */
	public int sweepAbandoned() {
		for (Claim claim : abandonedClaims()) {
			Read read = this.store.read(claim.action().objectKey());
			if (read instanceof Read.Found found && ClaimRecord.parse(found.value()).nonce().equals(claim.nonce())
					&& reacquire(claim.nonce()) != null
					&& !(this.store.remove(claim.action().objectKey(), found.version()) instanceof Write.Written)) {
				abandon(claim);
			}
		}
		return abandonedClaims().size();
	}

	private ClaimResult readBack(ActionName action, String nonce, String bodyHash) {
		return switch (this.store.read(action.objectKey())) {
			case Read.Found found -> evaluate(action, found, nonce, bodyHash);
			case Read.Absent ignored -> new ClaimResult.NotFound();
			case Read.Unavailable ignored -> new ClaimResult.NotFound();
		};
	}

	private ClaimResult evaluate(ActionName action, Read.Found found, String nonce, String bodyHash) {
		ClaimRecord record = ClaimRecord.parse(found.value());
		if (!record.bodyHash().equals(bodyHash)) {
			return new ClaimResult.BodyMismatch();
		}
		if (record.answer() != null) {
			return new ClaimResult.Answered(record.answer());
		}
		boolean ours = record.nonce().equals(nonce) || reacquire(record.nonce()) != null;
		return ours ? new ClaimResult.Acquired(new Claim(action, record.nonce(), bodyHash, found.version()))
				: new ClaimResult.InDoubt();
	}

	private static StoredAnswer tooLarge(StoredAnswer answer) {
		return new StoredAnswer(answer.status(), List.of(Map.entry("whin-body-kept", "no")), new byte[0]);
	}

	private synchronized void abandon(Claim claim) {
		this.abandoned.put(claim.nonce(), claim);
	}

	private synchronized Claim reacquire(String nonce) {
		return this.abandoned.remove(nonce);
	}

	private synchronized List<Claim> abandonedClaims() {
		return new ArrayList<>(this.abandoned.values());
	}

	/**
	 * The result of a claim.
	 */
	public sealed interface ClaimResult {

		/**
		 * The claim was acquired; its receiver may send the action once.
		 *
		 * @param claim the claim
		 */
		record Acquired(Claim claim) implements ClaimResult {
		}

		/**
		 * The action has already run.
		 *
		 * @param answer its first answer
		 */
		record Answered(StoredAnswer answer) implements ClaimResult {
		}

		/**
		 * The action was claimed and has no stored answer: it is running, has run, or
		 * will never run.
		 */
		record InDoubt() implements ClaimResult {
		}

		/**
		 * The idempotency key was used with a different body.
		 */
		record BodyMismatch() implements ClaimResult {
		}

		/**
		 * The platform did not confirm the claim; the action must not be sent.
		 */
		record StoreUnavailable() implements ClaimResult {
		}

		/**
		 * The claim was not found when it was read back; internal.
		 */
		record NotFound() implements ClaimResult {
		}

	}

}
