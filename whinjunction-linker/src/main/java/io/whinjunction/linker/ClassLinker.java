package io.whinjunction.linker;

import java.lang.classfile.ClassBuilder;
import java.lang.classfile.ClassElement;
import java.lang.classfile.ClassFile;
import java.lang.classfile.ClassModel;
import java.lang.classfile.ClassTransform;
import java.lang.classfile.CodeBuilder;
import java.lang.classfile.CodeElement;
import java.lang.classfile.CodeModel;
import java.lang.classfile.MethodModel;
import java.lang.classfile.MethodTransform;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.util.Optional;

/**
 * Replaces the dynamic call sites of one class by plain bytecode with the same behaviour:
 * pattern switches over types, and the generated methods of records. The virtual machine
 * links each dynamic call site at its first use in every process; the class archive holds
 * the result for lambdas only.
 * <p>
 * Invariants: a call site of any other form stays as it is, and linking a class twice
 * changes nothing. Confined to one thread.
 */
final class ClassLinker {

	private static final ClassFile CLASS_FILE = ClassFile.of(ClassFile.ConstantPoolSharingOption.NEW_POOL);

	private final ClassModel model;

	private final TypeSwitches switches;

	private boolean changed;

	private ClassLinker(ClassModel model) {
		this.model = model;
		this.switches = new TypeSwitches(model);
	}

	/**
	 * Links the call sites of a class.
	 * @param content the class file
	 * @return the linked class, unchanged if none of its call sites can be linked
	 */
	static byte[] link(byte[] content) {
		return new ClassLinker(CLASS_FILE.parse(content)).linkClass(content);
	}

	private byte[] linkClass(byte[] content) {
		ClassTransform methods = this::linkElement;
		byte[] linked = CLASS_FILE.transformClass(this.model,
				methods.andThen(ClassTransform.endHandler(this.switches::addMethods)));
		return this.changed ? linked : content;
	}

	private void linkElement(ClassBuilder builder, ClassElement element) {
		if (element instanceof MethodModel method && hasDynamicCall(method)) {
			Optional<InvokeDynamicInstruction> generated = RecordMethods.find(method);
			if (generated.isPresent()) {
				this.changed = true;
				builder.transformMethod(method, (methodBuilder, methodElement) -> {
					if (methodElement instanceof CodeModel) {
						methodBuilder.withCode((code) -> RecordMethods.write(code, this.model, generated.get()));
					}
					else {
						methodBuilder.with(methodElement);
					}
				});
			}
			else {
				builder.transformMethod(method, MethodTransform.transformingCode(this::linkInstruction));
			}
		}
		else {
			builder.with(element);
		}
	}

	private void linkInstruction(CodeBuilder code, CodeElement element) {
		if (element instanceof InvokeDynamicInstruction site && this.switches.link(code, site)) {
			this.changed = true;
		}
		else {
			code.with(element);
		}
	}

	private static boolean hasDynamicCall(MethodModel method) {
		return method.code()
			.stream()
			.flatMap((code) -> code.elementStream())
			.anyMatch((element) -> element instanceof InvokeDynamicInstruction);
	}

}
