/** Escapes control characters in received data, so that they cannot control the operator's terminal. */

// eslint-disable-next-line no-control-regex
const controls = /[\u0000-\u001f\u007f-\u009f]/g;

/** Replaces control characters with JSON escapes, so that JSON remains valid. */
export function escapeControls(text: string, keepNewlines = false): string {
    return text.replace(controls, char =>
        keepNewlines && char === "\n" ? char : `\\u${char.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
}
