/** Keeps control characters in the answers of others away from the operator's terminal. */

// eslint-disable-next-line no-control-regex
const controls = /[\u0000-\u001f\u007f-\u009f]/g;

/** Writes control characters as JSON escapes, which leaves JSON valid. */
export function escapeControls(text: string, keepNewlines = false): string {
    return text.replace(controls, char =>
        keepNewlines && char === "\n" ? char : `\\u${char.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
}
