package io.whinjunction.linker;

import java.lang.classfile.Attributes;
import java.lang.classfile.ClassModel;
import java.lang.classfile.CodeBuilder;
import java.lang.classfile.Label;
import java.lang.classfile.MethodModel;
import java.lang.classfile.TypeKind;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDescs;
import java.lang.constant.DirectMethodHandleDesc;
import java.lang.constant.MethodTypeDesc;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The methods {@code equals}, {@code hashCode} and {@code toString} that the compiler
 * generates for a record, as plain bytecode with the results of
 * {@link java.lang.runtime.ObjectMethods}. Stateless.
 */
final class RecordMethods {

	private static final String BOOTSTRAP_CLASS = "Ljava/lang/runtime/ObjectMethods;";

	private static final int HASH_FACTOR = 31;

	/** Number of bootstrap arguments before the components: the class and the names. */
	private static final int FIRST_COMPONENT = 2;

	private static final ClassDesc OBJECTS = Objects.class.describeConstable().orElseThrow();

	private static final ClassDesc BUILDER = StringBuilder.class.describeConstable().orElseThrow();

	private RecordMethods() {
	}

	/**
	 * Finds the call site of a method that the compiler generated for a record.
	 * @param method the method
	 * @return the call site, empty for any other method
	 */
	static Optional<InvokeDynamicInstruction> find(MethodModel method) {
		return method.code()
			.stream()
			.flatMap((code) -> code.elementStream())
			.filter((element) -> element instanceof InvokeDynamicInstruction site
					&& site.bootstrapMethod().owner().descriptorString().equals(BOOTSTRAP_CLASS))
			.map(InvokeDynamicInstruction.class::cast)
			.findFirst();
	}

	/**
	 * Writes the whole body of a method that the compiler generated.
	 * @param code the body to write
	 * @param model the record
	 * @param site the call site of the method
	 */
	static void write(CodeBuilder code, ClassModel model, InvokeDynamicInstruction site) {
		List<DirectMethodHandleDesc> components = site.bootstrapArgs()
			.stream()
			.skip(FIRST_COMPONENT)
			.map(DirectMethodHandleDesc.class::cast)
			.toList();
		switch (site.name().stringValue()) {
			case "equals" -> writeEquals(code, model.thisClass().asSymbol(), components);
			case "hashCode" -> writeHashCode(code, components);
			case "toString" -> writeToString(code, simpleName(model), components);
			default -> throw new IllegalArgumentException("unknown method of a record: " + site.name().stringValue());
		}
	}

	private static void writeEquals(CodeBuilder code, ClassDesc type, List<DirectMethodHandleDesc> components) {
		Label differs = code.newLabel();
		Label sameClass = code.newLabel();
		code.aload(0).aload(1).if_acmpne(sameClass).iconst_1().ireturn().labelBinding(sameClass);
		code.aload(1).instanceOf(type).ifeq(differs).aload(1).checkcast(type).astore(2);
		for (DirectMethodHandleDesc component : components) {
			load(code, 0, component);
			load(code, 2, component);
			ClassDesc valueType = valueType(component);
			if (!valueType.isPrimitive()) {
				code.invokestatic(OBJECTS, "equals",
						MethodTypeDesc.of(ConstantDescs.CD_boolean, ConstantDescs.CD_Object, ConstantDescs.CD_Object))
					.ifeq(differs);
			}
			else {
				switch (TypeKind.from(valueType)) {
					case LONG -> code.lcmp().ifne(differs);
					// The order of compare, which takes a value that is no number for
					// equal to itself.
					case FLOAT,
							DOUBLE ->
						code.invokestatic(Primitives.wrapper(valueType), "compare",
								MethodTypeDesc.of(ConstantDescs.CD_int, valueType, valueType))
							.ifne(differs);
					default -> code.if_icmpne(differs);
				}
			}
		}
		code.iconst_1().ireturn().labelBinding(differs).iconst_0().ireturn();
	}

	private static void writeHashCode(CodeBuilder code, List<DirectMethodHandleDesc> components) {
		code.iconst_0();
		for (DirectMethodHandleDesc component : components) {
			code.loadConstant(HASH_FACTOR).imul();
			load(code, 0, component);
			ClassDesc valueType = valueType(component);
			ClassDesc owner = valueType.isPrimitive() ? Primitives.wrapper(valueType) : OBJECTS;
			ClassDesc parameter = valueType.isPrimitive() ? valueType : ConstantDescs.CD_Object;
			code.invokestatic(owner, "hashCode", MethodTypeDesc.of(ConstantDescs.CD_int, parameter)).iadd();
		}
		code.ireturn();
	}

	private static void writeToString(CodeBuilder code, String name, List<DirectMethodHandleDesc> components) {
		code.new_(BUILDER).dup().invokespecial(BUILDER, ConstantDescs.INIT_NAME, ConstantDescs.MTD_void);
		String separator = name + "[";
		for (DirectMethodHandleDesc component : components) {
			append(code, separator + component.methodName() + "=");
			load(code, 0, component);
			code.invokevirtual(BUILDER, "append", MethodTypeDesc.of(BUILDER, appended(valueType(component))));
			separator = ", ";
		}
		append(code, components.isEmpty() ? separator + "]" : "]");
		code.invokevirtual(BUILDER, "toString", MethodTypeDesc.of(ConstantDescs.CD_String)).areturn();
	}

	private static void append(CodeBuilder code, String text) {
		code.loadConstant(text).invokevirtual(BUILDER, "append", MethodTypeDesc.of(BUILDER, ConstantDescs.CD_String));
	}

	// The builder would append the content of an array of characters.
	private static ClassDesc appended(ClassDesc valueType) {
		if (!valueType.isPrimitive()) {
			return ConstantDescs.CD_Object;
		}
		return switch (TypeKind.from(valueType)) {
			case BYTE, SHORT -> ConstantDescs.CD_int;
			default -> valueType;
		};
	}

	private static void load(CodeBuilder code, int slot, DirectMethodHandleDesc component) {
		code.aload(slot).getfield(component.owner(), component.methodName(), valueType(component));
	}

	private static ClassDesc valueType(DirectMethodHandleDesc component) {
		return component.invocationType().returnType();
	}

	private static String simpleName(ClassModel model) {
		String own = model.thisClass().asInternalName();
		return model.findAttribute(Attributes.innerClasses())
			.stream()
			.flatMap((attribute) -> attribute.classes().stream())
			.filter((inner) -> inner.innerClass().asInternalName().equals(own))
			.flatMap((inner) -> inner.innerName().stream())
			.map((name) -> name.stringValue())
			.findFirst()
			.orElseGet(() -> Arrays.asList(own.split("/")).getLast());
	}

}
