package io.whinjunction.cli;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.whinjunction.configuration.ConfigurationReader.Checked;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.platform.ObjectStore.Write;
import tools.jackson.databind.JsonNode;

/**
 * Applies files: accepted once the platform has the new revision, in force once every
 * entry says so.
 */
@Command(name = "apply",
		description = "Applies a base file with its overlays and waits until it is in force; " + ExitCode.HELP)
public final class ApplyCommand extends FilesCommand {

	private static final long LOOK_EVERY_MS = 100;

	@Option(name = "--expect-revision", title = "N",
			description = "Apply only where this is the revision now; default: the one found")
	private long expectRevision = -1;

	@Option(name = "--wait-ms", title = "MS", description = "How long to wait until it is in force; default 8000")
	private int waitMs = 8000;

	@Option(name = "--force", description = "Apply though less than half of the entries confirm their configuration")
	private boolean force;

	@Override
	ExitCode execute() {
		Checked.Valid valid = readFiles();
		if (valid == null) {
			return ExitCode.USAGE;
		}
		if (!this.force && hasEntries() && !majorityConfirms()) {
			printError("at most half of the entries confirm their configuration; a change might not be in force "
					+ "everywhere in time. Nothing was changed; --force applies all the same.");
			return ExitCode.UNAVAILABLE;
		}
		ObjectStore store = store();
		Read read = store.read(Manifest.KEY);
		if (read instanceof Read.Unavailable unavailable) {
			printError("the platform did not answer, nothing was changed: " + unavailable.reason());
			return ExitCode.UNAVAILABLE;
		}
		long version = (read instanceof Read.Found found) ? found.version() : ObjectStore.ABSENT;
		Manifest old = (read instanceof Read.Found found) ? Manifest.parse(found.value()) : null;
		long revision = (old != null) ? old.revision() : 0;
		if (this.expectRevision >= 0 && this.expectRevision != revision) {
			printError("the revision is " + revision + ", not " + this.expectRevision + "; nothing was changed");
			return ExitCode.CONFLICT;
		}
		if (old != null && old.document().equals(valid.document())) {
			System.out.println("unchanged: revision " + revision);
			return awaitInForce(old);
		}
		Manifest manifest = new Manifest(revision + 1, valid.document(), UUID.randomUUID().toString());
		return switch (store.write(Manifest.KEY, manifest.toJson(), version)) {
			case Write.Written ignored -> accepted(manifest);
			case Write.Conflict ignored -> conflict();
			case Write.Uncertain uncertain -> readBack(store, manifest, uncertain);
		};
	}

	// The reply was lost: the nonce tells whose write stands there.
	private ExitCode readBack(ObjectStore store, Manifest manifest, Write.Uncertain uncertain) {
		Read read = store.read(Manifest.KEY);
		if (read instanceof Read.Found found) {
			Manifest present = Manifest.parse(found.value());
			if (present != null && present.nonce().equals(manifest.nonce())) {
				return accepted(manifest);
			}
			if (present != null && present.revision() >= manifest.revision()) {
				return conflict();
			}
		}
		printError("whether the change was accepted is not known (" + uncertain.reason() + "); run 'whin status'");
		return ExitCode.UNAVAILABLE;
	}

	private static ExitCode conflict() {
		printError("another operator's change was accepted first; nothing was changed. See 'whin diff'.");
		return ExitCode.CONFLICT;
	}

	private ExitCode accepted(Manifest manifest) {
		System.out.println("accepted: revision " + manifest.revision());
		return awaitInForce(manifest);
	}

	private ExitCode awaitInForce(Manifest manifest) {
		if (!hasEntries()) {
			System.out.println("no --entry was given, so whether it is in force was not asked");
			return ExitCode.OK;
		}
		Set<String> missing = new LinkedHashSet<>(entries());
		// Told directly too, so that entries that the platform cannot reach have it.
		missing.forEach((entry) -> post(entry, "/manifest", manifest.toJson()));
		long endMs = System.nanoTime() / 1_000_000 + this.waitMs;
		while (!missing.isEmpty() && System.nanoTime() / 1_000_000 < endMs) {
			missing.removeIf((entry) -> inForce(entry, manifest.revision()));
			pause();
		}
		if (missing.isEmpty()) {
			System.out.println("in force: revision " + manifest.revision() + " on " + entries().size() + " entries");
			return ExitCode.OK;
		}
		printError("accepted, but not known to be in force on: " + String.join(", ", missing)
				+ "; an entry that cannot confirm its configuration refuses requests by itself");
		return ExitCode.PARTIAL;
	}

	private boolean inForce(String entry, long revision) {
		JsonNode status = get(entry, "/status");
		return status != null && status.path("revision").asLong(0) >= revision;
	}

	private boolean majorityConfirms() {
		List<String> all = entries();
		long confirming = all.stream().filter(this::confirms).count();
		return confirming * 2 > all.size();
	}

	private boolean confirms(String entry) {
		JsonNode status = get(entry, "/status");
		// An entry without any configuration yet is open for the first one.
		return status != null && (status.path("serving").asBoolean(false) || status.path("revision").asLong(0) == 0);
	}

	private static void pause() {
		try {
			Thread.sleep(LOOK_EVERY_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
