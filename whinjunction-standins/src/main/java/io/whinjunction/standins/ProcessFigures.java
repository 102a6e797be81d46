package io.whinjunction.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the kernel tells of a process on this machine. Stateless.
 */
public final class ProcessFigures {

	private static final int KIB = 1024;

	private static final int LOCAL_ADDRESS = 1;

	private static final int QUEUES = 4;

	private ProcessFigures() {
	}

	/**
	 * Returns the resident memory of a process.
	 * @param pid the process
	 * @return bytes
	 * @throws IOException if there is no such process
	 */
	public static long residentBytes(long pid) throws IOException {
		String field = "VmRSS:";
		for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
			if (line.startsWith(field)) {
				return KIB * Long.parseLong(line.substring(field.length()).replace("kB", "").trim());
			}
		}
		throw new IOException("process " + pid + " has ended");
	}

	/**
	 * Returns the open descriptors of a process.
	 * @param pid the process
	 * @return their number
	 * @throws IOException if there is no such process
	 */
	public static long openDescriptors(long pid) throws IOException {
		try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
			return descriptors.count();
		}
	}

	/**
	 * Returns what the kernel has received on connections to a port and no process has
	 * read.
	 * @param port the local port
	 * @return bytes
	 * @throws IOException if the kernel's table can't be read
	 */
	public static long unreadBytes(int port) throws IOException {
		String suffix = ":%04X".formatted(port);
		List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
		lines.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
		return lines.stream()
			.map((line) -> line.trim().split("\\s+"))
			.filter((fields) -> fields[LOCAL_ADDRESS].endsWith(suffix))
			.mapToLong((fields) -> Long.parseLong(fields[QUEUES].split(":")[1], 16))
			.sum();
	}

}
