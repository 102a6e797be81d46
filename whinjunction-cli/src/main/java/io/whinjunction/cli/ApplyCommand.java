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
 * Applies configuration files. A change is accepted once the platform has stored the new
 * revision, and in force once every given entry reports it.
 */
@Command(name = "apply",
		description = "Applies a base file with its overlays and waits until it is in force; " + ExitCode.HELP)
public final class ApplyCommand extends FilesCommand {

	private static final long POLL_INTERVAL_MS = 100;

	@Option(name = "--expect-revision", title = "N",
			description = "Apply only if this is the current revision; default: the one read at the start")
	private long expectRevision = -1;

	@Option(name = "--wait-ms", title = "MS",
			description = "How long to wait until the revision is in force; default 8000")
	private int waitMs = 8000;

	@Option(name = "--force", description = "Apply even if at most half of the entries confirm their configuration")
	private boolean force;

	@Override
	ExitCode execute() {
		Checked.Valid valid = readFiles();
		if (valid == null) {
			return ExitCode.USAGE;
		}
		if (!this.force && hasEntries() && !majorityConfirms()) {
			printError("at most half of the entries confirm their configuration, so a change might not be in force "
					+ "everywhere in time; nothing was changed. Use --force to apply it anyway.");
			return ExitCode.UNAVAILABLE;
		}
		ObjectStore store = store();
		Read read = store.read(Manifest.KEY);
		if (read instanceof Read.Unavailable unavailable) {
			printError("the platform did not answer, nothing was changed: " + unavailable.reason());
			return ExitCode.UNAVAILABLE;
		}
		long version = (read instanceof Read.Found found) ? found.version() : ObjectStore.ABSENT;
		Manifest current = (read instanceof Read.Found found) ? Manifest.parse(found.value()) : null;
		long revision = (current != null) ? current.revision() : 0;
		if (this.expectRevision >= 0 && this.expectRevision != revision) {
			printError("the revision is " + revision + ", not " + this.expectRevision + "; nothing was changed");
			return ExitCode.CONFLICT;
		}
		if (current != null && current.document().equals(valid.document())) {
			System.out.println("unchanged: revision " + revision);
			return awaitInForce(current);
		}
		Manifest manifest = new Manifest(revision + 1, valid.document(), UUID.randomUUID().toString());
		return switch (store.write(Manifest.KEY, manifest.toJson(), version)) {
			case Write.Written ignored -> accepted(manifest);
			case Write.Conflict ignored -> conflict();
			case Write.Uncertain uncertain -> readBack(store, manifest, uncertain);
		};
	}

	// The reply to the write was lost. The nonce shows whether the stored manifest is
	// this one or another operator's.
	private ExitCode readBack(ObjectStore store, Manifest manifest, Write.Uncertain uncertain) {
		Read read = store.read(Manifest.KEY);
		if (read instanceof Read.Found found) {
			Manifest stored = Manifest.parse(found.value());
			if (stored != null && stored.nonce().equals(manifest.nonce())) {
				return accepted(manifest);
			}
			if (stored != null && stored.revision() >= manifest.revision()) {
				return conflict();
			}
		}
		printError("cannot determine whether the change was accepted (" + uncertain.reason() + "); run 'whin status'");
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
			System.out.println("no --entry was given, so whether the revision is in force was not checked");
			return ExitCode.OK;
		}
		Set<String> pending = new LinkedHashSet<>(entries());
		// Sent directly as well, for entries that are cut off from the platform.
		pending.forEach((entry) -> post(entry, "/manifest", manifest.toJson()));
		long endMs = System.nanoTime() / 1_000_000 + this.waitMs;
		while (!pending.isEmpty() && System.nanoTime() / 1_000_000 < endMs) {
			pending.removeIf((entry) -> inForce(entry, manifest.revision()));
			pause();
		}
		if (pending.isEmpty()) {
			System.out.println("in force: revision " + manifest.revision() + " on " + entries().size() + " entries");
			return ExitCode.OK;
		}
		printError("accepted, but not confirmed to be in force on: " + String.join(", ", pending)
				+ "; an entry that cannot confirm its configuration refuses requests on its own");
		return ExitCode.PARTIAL;
	}

	private boolean inForce(String entry, long revision) {
		JsonNode status = get(entry, "/status");
		return status != null && status.path("revision").asLong(0) >= revision;
	}

	private boolean majorityConfirms() {
		List<String> entries = entries();
		long confirming = entries.stream().filter(this::confirms).count();
		return confirming * 2 > entries.size();
	}

	private boolean confirms(String entry) {
		JsonNode status = get(entry, "/status");
		// An entry that has no configuration yet accepts the first one, so it counts too.
		return status != null && (status.path("serving").asBoolean(false) || status.path("revision").asLong(0) == 0);
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_INTERVAL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
