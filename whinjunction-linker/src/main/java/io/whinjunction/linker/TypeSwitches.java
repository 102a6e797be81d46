package io.whinjunction.linker;

import java.lang.classfile.ClassBuilder;
import java.lang.classfile.ClassFile;
import java.lang.classfile.ClassModel;
import java.lang.classfile.CodeBuilder;
import java.lang.classfile.Label;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDesc;
import java.lang.constant.MethodTypeDesc;
import java.lang.reflect.AccessFlag;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Links pattern switches whose labels are all classes: each becomes a call of a private
 * method with a chain of type tests. Confined to one thread.
 */
final class TypeSwitches {

	private static final String BOOTSTRAP_CLASS = "Ljava/lang/runtime/SwitchBootstraps;";

	private final ClassModel model;

	private final Map<Form, String> methodNames = new LinkedHashMap<>();

	TypeSwitches(ClassModel model) {
		this.model = model;
	}

	/**
	 * Writes a call for a call site.
	 * @param code the code to write to
	 * @param site the call site
	 * @return {@code false} if the call site has another form and must be kept
	 */
	boolean link(CodeBuilder code, InvokeDynamicInstruction site) {
		List<ConstantDesc> labels = site.bootstrapArgs();
		MethodTypeDesc type = site.typeSymbol();
		boolean classesOnly = labels.stream()
			.allMatch((label) -> label instanceof ClassDesc labelClass && !labelClass.isPrimitive());
		if (!site.bootstrapMethod().owner().descriptorString().equals(BOOTSTRAP_CLASS)
				|| !site.bootstrapMethod().methodName().equals("typeSwitch") || !classesOnly
				|| type.parameterType(0).isPrimitive()) {
			return false;
		}
		Form form = new Form(type, labels.stream().map(ClassDesc.class::cast).toList());
		String name = this.methodNames.computeIfAbsent(form, (added) -> "$typeSwitch$" + this.methodNames.size());
		code.invokestatic(this.model.thisClass().asSymbol(), name, type, this.model.flags().has(AccessFlag.INTERFACE));
		return true;
	}

	/**
	 * Adds the methods that the linked call sites call.
	 * @param builder the class to add to
	 */
	void addMethods(ClassBuilder builder) {
		this.methodNames.forEach((form, name) -> builder.withMethodBody(name, form.type(),
				ClassFile.ACC_PRIVATE | ClassFile.ACC_STATIC | ClassFile.ACC_SYNTHETIC, form::write));
	}

	/**
	 * What a switch tests. Immutable.
	 *
	 * @param type takes the selector and the index of the first label to test
	 * @param labels the classes to test for, in order
	 */
	private record Form(MethodTypeDesc type, List<ClassDesc> labels) {

		// Returns -1 for null, else the index of the first label that matches, else their
		// number.
		void write(CodeBuilder code) {
			Label present = code.newLabel();
			code.aload(0).ifnonnull(present).iconst_m1().ireturn().labelBinding(present);
			for (int index = 0; index < this.labels.size(); index++) {
				Label next = code.newLabel();
				code.aload(0).instanceOf(this.labels.get(index)).ifeq(next);
				code.iload(1).loadConstant(index).if_icmpgt(next);
				code.loadConstant(index).ireturn().labelBinding(next);
			}
			code.loadConstant(this.labels.size()).ireturn();
		}

	}

}
