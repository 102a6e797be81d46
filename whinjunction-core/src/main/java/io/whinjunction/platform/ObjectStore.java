package io.whinjunction.platform;

import java.util.List;

/**
 * The platform's versioned object API. Calls block the calling (virtual) thread for at
 * most the client's timeout. Implementations are thread-safe.
 */
public interface ObjectStore {

	/** The version to pass to {@link #write} if the object must not exist yet. */
	long ABSENT = 0;

	/**
	 * Reads one object.
	 * @param key its key
	 * @return the object, its absence, or that the platform did not answer
	 */
	Read read(String key);

	/**
	 * Writes one object if its version is still the expected one.
	 * @param key its key
	 * @param value at most a megabyte
	 * @param expectedVersion the version to replace, or {@link #ABSENT}
	 * @return the result of the write
	 */
	Write write(String key, String value, long expectedVersion);

	/**
	 * Lists the objects below a prefix.
	 * @param prefix the prefix
	 * @return the objects in key order, or that the platform did not answer
	 */
	Listing list(String prefix);

	/**
	 * Removes an object if its version is still the expected one.
	 * @param key its key
	 * @param expectedVersion the version to remove
	 * @return the result of the removal
	 */
	Write remove(String key, long expectedVersion);

	/**
	 * Waits until an object is newer than a version.
	 * @param key its key
	 * @param afterVersion the version that the caller already has
	 * @param timeoutMs how long to wait, in milliseconds
	 * @return the newer object, {@link Read.Absent} if there was none before the timeout,
	 * or that the platform did not answer
	 */
	Read watch(String key, long afterVersion, long timeoutMs);

	/**
	 * Lists the instances of upstreams. The list may lag behind.
	 * @return the instances, or that the platform did not answer
	 */
	Instances instances();

	/**
	 * The result of a read.
	 */
	sealed interface Read {

		/**
		 * The object.
		 *
		 * @param version its version
		 * @param value its value
		 */
		record Found(long version, String value) implements Read {
		}

		/**
		 * There is no such object, or no newer version of it.
		 */
		record Absent() implements Read {
		}

		/**
		 * The platform did not answer.
		 *
		 * @param reason why, for the log
		 */
		record Unavailable(String reason) implements Read {
		}

	}

	/**
	 * The result of a write or removal.
	 */
	sealed interface Write {

		/**
		 * The write took effect.
		 *
		 * @param version the new version
		 */
		record Written(long version) implements Write {
		}

		/**
		 * The object has another version; nothing was written.
		 */
		record Conflict() implements Write {
		}

		/**
		 * The write may have taken effect or may still do so later.
		 *
		 * @param reason why, for the log
		 */
		record Uncertain(String reason) implements Write {
		}

	}

	/**
	 * The result of a listing.
	 */
	sealed interface Listing {

		/**
		 * The objects.
		 *
		 * @param objects in key order
		 */
		record Objects(List<StoredObject> objects) implements Listing {
		}

		/**
		 * The platform did not answer.
		 *
		 * @param reason why, for the log
		 */
		record Unavailable(String reason) implements Listing {
		}

	}

	/**
	 * One object of a listing.
	 *
	 * @param key its key
	 * @param version its version
	 * @param value its value
	 */
	record StoredObject(String key, long version, String value) {
	}

	/**
	 * The result of listing the instances.
	 */
	sealed interface Instances {

		/**
		 * The list.
		 *
		 * @param instances live and leaving instances
		 */
		record Listed(List<Instance> instances) implements Instances {
		}

		/**
		 * The platform did not answer.
		 *
		 * @param reason why, for the log
		 */
		record Unavailable(String reason) implements Instances {
		}

	}

	/**
	 * One instance of the list.
	 *
	 * @param id its name
	 * @param service the service it belongs to
	 * @param address {@code HOST:PORT}
	 * @param failureDomain where it is
	 * @param acceleratorKind its kind of accelerator; empty for a plain service
	 * @param leaving whether it will stop soon
	 */
	record Instance(String id, String service, String address, String failureDomain, String acceleratorKind,
			boolean leaving) {
	}

}
