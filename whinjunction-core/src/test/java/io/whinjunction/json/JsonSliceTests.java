package io.whinjunction.json;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.whinjunction.configuration.Json;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Where values of a JSON text begin and end.
 */
class JsonSliceTests {

	private static final int DEPTH = 500_000;

	@Property(tries = 500)
	void theElementsAreThoseThatTheLibraryReads(@ForAll("values") List<String> texts, @ForAll("blanks") String blank) {
		assertThat(elements(spaced("[" + String.join(",", texts) + "]", blank))).isEqualTo(parsed(texts));
	}

	@Property(tries = 500)
	void theMembersAreThoseThatTheLibraryReads(@ForAll("values") List<String> texts, @ForAll("blanks") String blank) {
		List<JsonNode> values = parsed(texts);
		ObjectNode object = Json.object();
		for (int index = 0; index < values.size(); index++) {
			object.set("m" + index, values.get(index));
		}

		Map<String, JsonSlice> members = slice(spaced(object.toString(), blank))
			.members(Set.copyOf(object.propertyNames()));

		assertThat(members).hasSize(values.size());
		members.forEach((name, member) -> assertThat(member.parse(Json.MAPPER)).isEqualTo(object.get(name)));
	}

	@Test
	void ofSeveralMembersOfANameTheLastCounts() {
		assertThat(slice("{\"a\":1,\"b\":2,\"a\":3}").members(Set.of("a")).get("a").parse(Json.MAPPER).intValue())
			.isEqualTo(3);
	}

	@Test
	void valuesOfAnotherTypeHaveNoMembersAndNoElements() {
		for (String text : List.of("1", "\"{\"", "null", "[{\"a\":1}]")) {
			assertThat(slice(text).members(Set.of("a"))).as(text).isEmpty();
		}
		for (String text : List.of("1", "\"[1]\"", "null", "{\"a\":[1]}")) {
			assertThat(elements(text)).as(text).isEmpty();
		}
	}

	// Guards against a value that takes more memory than the process has as it is
	// skipped, or that hides the values behind it.
	@Test
	void theValuesBesideADeeplyNestedOneAreFound() {
		String nested = "[".repeat(DEPTH) + "]".repeat(DEPTH);
		List<JsonSlice> elements = new ArrayList<>();
		slice("[1," + nested + ",2]").forEachElement(elements::add);

		assertThat(elements).hasSize(3);
		assertThat(elements.get(0).parse(Json.MAPPER).intValue()).isEqualTo(1);
		assertThat(elements.get(2).parse(Json.MAPPER).intValue()).isEqualTo(2);
		assertThatExceptionOfType(JacksonException.class).isThrownBy(() -> elements.get(1).parse(Json.MAPPER));
	}

	// Guards against a small text whose parts take much memory.
	@Test
	void aMemberOfMoreTokensThanAllowedIsLeftOut() {
		JsonSlice object = slice("{\"few\":[1,2],\"many\":[1,2,3,4,5,6,7,8],\"unknown\":[1,2,3,4,5,6,7,8]}");

		assertThat(object.parseReadableMembers(Set.of("few", "many"), Json.ofTokens(8)))
			.isEqualTo(Json.MAPPER.readTree("{\"few\":[1,2]}"));
		assertThatExceptionOfType(JacksonException.class)
			.isThrownBy(() -> object.parseMembers(Set.of("few", "many"), Json.ofTokens(8)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", "[", "[1", "[1,", "[1,]x", "{\"a\":1", "{\"a\"", "\"", "\"\\", "\"\\\"", "]",
			"1 2", "[1] ]" })
	void aTextThatIsNotOneValueIsRefused(String text) {
		assertThatExceptionOfType(IllegalArgumentException.class).isThrownBy(() -> slice(text));
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"a\" 1}", "{1:2}", "{\"a\":1 \"b\":2}", "{,}", "{\"a\":}" })
	void anObjectThatIsNotWellFormedIsRefused(String text) {
		assertThatExceptionOfType(IllegalArgumentException.class).isThrownBy(() -> slice(text).members(Set.of("a")));
	}

	@Provide
	static Arbitrary<List<String>> values() {
		Arbitrary<String> texts = Arbitraries
			.oneOf(Arbitraries.strings().ofMaxLength(12),
					Arbitraries.strings().withChars("\"\\[]{},: \n").ofMaxLength(8))
			.map((text) -> Json.MAPPER.writeValueAsString(text));
		Arbitrary<String> plain = Arbitraries.oneOf(texts, Arbitraries.longs().map(String::valueOf),
				Arbitraries.of("null", "true", "[]", "{}", "-0.5e-3"));
		Arbitrary<String> arrays = plain.list().ofMaxSize(3).map((parts) -> "[" + String.join(",", parts) + "]");
		Arbitrary<String> objects = texts.flatMap((name) -> arrays.map((value) -> "{" + name + ":" + value + "}"));
		return Arbitraries.oneOf(plain, arrays, objects).list().ofMaxSize(5);
	}

	@Provide
	static Arbitrary<String> blanks() {
		return Arbitraries.strings().withChars(" \n\r\t").ofMaxLength(2);
	}

	// Blanks around the whole text and at both ends of its list.
	private static String spaced(String text, String blank) {
		return blank + text.charAt(0) + blank + text.substring(1, text.length() - 1) + blank
				+ text.charAt(text.length() - 1) + blank;
	}

	private static List<JsonNode> parsed(List<String> texts) {
		return texts.stream().map(Json.MAPPER::readTree).toList();
	}

	private static JsonSlice slice(String text) {
		return JsonSlice.of(text.getBytes(StandardCharsets.UTF_8));
	}

	private static List<JsonNode> elements(String text) {
		List<JsonNode> elements = new ArrayList<>();
		slice(text).forEachElement((element) -> elements.add(element.parse(Json.MAPPER)));
		return elements;
	}

}
