package io.whinjunction.bench;

/**
 * The {@code whin-bench} program.
 */
public final class BenchMain {

	private BenchMain() {
	}

	/**
	 * Runs the benchmarks.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.out.println("no benchmark yet");
	}

}
