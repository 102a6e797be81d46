package io.whinjunction.linker;

import java.lang.classfile.TypeKind;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDescs;

/**
 * Wrapper classes of primitive types. Stateless.
 */
final class Primitives {

	private Primitives() {
	}

	/**
	 * Returns the wrapper class of a primitive type.
	 * @param primitive the type, not void
	 * @return the class
	 */
	static ClassDesc wrapper(ClassDesc primitive) {
		return switch (TypeKind.from(primitive)) {
			case BOOLEAN -> ConstantDescs.CD_Boolean;
			case BYTE -> ConstantDescs.CD_Byte;
			case CHAR -> ConstantDescs.CD_Character;
			case SHORT -> ConstantDescs.CD_Short;
			case INT -> ConstantDescs.CD_Integer;
			case LONG -> ConstantDescs.CD_Long;
			case FLOAT -> ConstantDescs.CD_Float;
			case DOUBLE -> ConstantDescs.CD_Double;
			case REFERENCE, VOID ->
				throw new IllegalArgumentException("no primitive value: " + primitive.displayName());
		};
	}

}
