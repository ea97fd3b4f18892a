/** Explains the syntax errors of the JSON parser. */
import { printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import { ProblemCode } from "./problem.js";
import type { Finding } from "./problem.js";

const explanations: Record<string, [message: string, expected: string, fix: string]> = {
    InvalidSymbol: ["unknown word", "a JSON value", "put text in double quotes"],
    InvalidNumberFormat: ["malformed number", "a decimal number", "write the number as 1500 or 0.25"],
    PropertyNameExpected: ["no key here", "a key in double quotes", 'write the key as "name"'],
    ValueExpected: ["no value here", "a value", "add the value or remove the surplus comma"],
    ColonExpected: ["no colon after the key", "a colon", "put : between the key and its value"],
    CommaExpected: ["no comma between two items", "a comma", "put a comma before this item"],
    CloseBraceExpected: ["an object is not closed", "}", "add the missing }"],
    CloseBracketExpected: ["an array is not closed", "]", "add the missing ]"],
    EndOfFileExpected: ["text after the end of the manifest", "the end of the file", "remove the text"],
    InvalidCommentToken: ["malformed comment", "// or /* */", "start the comment with //"],
    UnexpectedEndOfComment: ["a comment is not closed", "*/", "add the missing */"],
    UnexpectedEndOfString: ["a text is not closed", 'a closing "', 'add the missing "'],
    UnexpectedEndOfNumber: ["incomplete number", "a digit", "complete the number"],
    InvalidUnicode: ["malformed \\u escape", "four hexadecimal digits", "write the escape as \\u00e9"],
    InvalidEscapeCharacter: ["unknown escape", "a JSON escape", "write a backslash as \\\\"],
    InvalidCharacter: ["control character in a text", "printable characters", "write it as an escape"],
};

/** Describes a syntax error. */
export function describeSyntaxError(text: string, err: ParseError): Finding {
    const name = printParseErrorCode(err.error);
    const known = explanations[name] ?? ["malformed text", "JSON with comments", "correct the text"];
    const [message, expected, fix] = isSurplusComma(text, err)
        ? ["surplus comma", "one comma between two items", "remove the comma"]
        : known;
    return { code: ProblemCode.Syntax, message, expected, fix };
}

/** Returns whether the rest of the document is understood in spite of the error. */
export function isRecoverableError(err: ParseError): boolean {
    const name = printParseErrorCode(err.error);
    return name === "CommaExpected" || name === "ValueExpected" || name === "PropertyNameExpected";
}

function isSurplusComma(text: string, err: ParseError): boolean {
    const name = printParseErrorCode(err.error);
    return (name === "ValueExpected" || name === "PropertyNameExpected") && text[err.offset] === ",";
}
