package slipfield.evidence;

import java.lang.reflect.Field;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.io.TempDir;

/** Prints where the logs and journals of a test that failed are kept. */
public final class KeptFolders implements AfterTestExecutionCallback {
    @Override
    public void afterTestExecution(ExtensionContext context) throws IllegalAccessException {
        if (context.getExecutionException().isEmpty()) {
            return;
        }
        for (Field field : context.getRequiredTestClass().getDeclaredFields()) {
            if (field.isAnnotationPresent(TempDir.class) && field.getType() == Path.class) {
                field.setAccessible(true);
                System.out.println("KEPT: " + context.getDisplayName() + " of " + context.getRequiredTestClass().getName()
                        + " failed; its folder is " + field.get(context.getRequiredTestInstance()));
            }
        }
    }
}
