package slipfield.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the status line of each answer before the codec does. Status 200 ends the call at once, because nothing after it can
 * change the result. An invalid status line ends it too: an answer whose header never ends would otherwise block the call
 * until its time-out. Interim (1xx) answers are skipped; everything else is left to the codec.
 */
final class StatusLineReader extends ChannelInboundHandlerAdapter {
    private static final int MAX_LENGTH = 4096;
    private static final String PREFIX = "HTTP/1.";
    private static final String COMMON_PREFIX = "HTTP/1.1 ";
    /** HTTP/1.0 or 1.1, a status code of three digits, and an optional reason phrase. */
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?");

    private final Answers answers;
    private final StringBuilder line = new StringBuilder();
    private boolean inInterimAnswer;

    /** The connection whose answers are read. */
    interface Answers {
        /** A read begins; data without a call in progress is not expected. */
        void readBegins();

        /** A read was processed, by the codec too. */
        void readEnded();

        /** Whether a call is in progress whose final status line has not been received. */
        boolean awaitsStatusLine();

        /** A byte of an answer was received. */
        void answerBegins();

        /** An interim answer has ended. */
        void interimAnswerEnded();

        /** The status line of the final answer was received. */
        void statusReceived(int code);

        /** The answer is invalid or does not end. */
        void invalidAnswer();
    }

    StatusLineReader(Answers answers) {
        this.answers = answers;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object read) {
        answers.readBegins();
        readStatusLine((ByteBuf) read);
        ctx.fireChannelRead(read);
        answers.readEnded();
    }

    private void readStatusLine(ByteBuf bytes) {
        if (answers.awaitsStatusLine() && line.length() == 0 && !inInterimAnswer && readCommonStatusLine(bytes)) {
            return;
        }
        for (int i = bytes.readerIndex(); i < bytes.writerIndex() && answers.awaitsStatusLine(); i++) {
            answers.answerBegins();
            append((char) (bytes.getByte(i) & 0xff));
        }
    }

    /** Handles the common case, a complete HTTP/1.1 status line of a final answer in one read, without copying the line. */
    private boolean readCommonStatusLine(ByteBuf bytes) {
        int at = bytes.readerIndex();
        int end = bytes.indexOf(at, Math.min(bytes.writerIndex(), at + MAX_LENGTH), (byte) '\n');
        if (end - at < COMMON_PREFIX.length() + 4) {
            return false;
        }
        for (int i = 0; i < COMMON_PREFIX.length(); i++) {
            if (bytes.getByte(at + i) != COMMON_PREFIX.charAt(i)) {
                return false;
            }
        }
        int code = 0;
        for (int i = at + COMMON_PREFIX.length(); i < at + COMMON_PREFIX.length() + 3; i++) {
            int digit = bytes.getByte(i) - '0';
            if (digit < 0 || digit > 9) {
                return false;
            }
            code = 10 * code + digit;
        }
        byte separator = bytes.getByte(at + COMMON_PREFIX.length() + 3);
        if (code < 200 || separator != ' ' && separator != '\r') {
            return false;
        }
        answers.answerBegins();
        answers.statusReceived(code);
        return true;
    }

    private void append(char c) {
        if (c != '\n') {
            line.append(c);
            // Data that is not HTTP may contain no line break at all, so the prefix is checked at once.
            boolean notHttp = !inInterimAnswer && line.length() <= PREFIX.length()
                    && !PREFIX.startsWith(line.toString());
            if (notHttp || line.length() > MAX_LENGTH) {
                answers.invalidAnswer();
            }
            return;
        }
        String text = line.toString().stripTrailing();
        line.setLength(0);
        if (inInterimAnswer) {
            inInterimAnswer = !text.isEmpty();
            if (!inInterimAnswer) {
                answers.interimAnswerEnded();
            }
            return;
        }
        Matcher status = STATUS.matcher(text);
        if (!status.matches() || status.group(1).equals("101")) {
            answers.invalidAnswer();
        } else if (status.group(1).startsWith("1")) {
            inInterimAnswer = true;
        } else {
            answers.statusReceived(Integer.parseInt(status.group(1)));
        }
    }
}
