/** Descriptions of the JSON parser's syntax errors. */
import { printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import { ProblemCode } from "./problem.js";
import type { Finding } from "./problem.js";

const descriptions: Record<string, [message: string, expected: string, fix: string]> = {
    InvalidSymbol: ["unknown symbol", "a JSON value", "put strings in double quotes"],
    InvalidNumberFormat: ["malformed number", "a decimal number", "write the number as 1500 or 0.25"],
    PropertyNameExpected: ["missing key", "a key in double quotes", 'write the key as "name"'],
    ValueExpected: ["missing value", "a value", "add the value or remove the extra comma"],
    ColonExpected: ["missing colon after the key", "a colon", "add a colon between the key and its value"],
    CommaExpected: ["missing comma between two items", "a comma", "add a comma before this item"],
    CloseBraceExpected: ["unclosed object", "}", "add the missing }"],
    CloseBracketExpected: ["unclosed array", "]", "add the missing ]"],
    EndOfFileExpected: [
        "unexpected text after the end of the manifest",
        "the end of the file",
        "remove the text",
    ],
    InvalidCommentToken: ["malformed comment", "// or /* */", "start the comment with //"],
    UnexpectedEndOfComment: ["unclosed comment", "*/", "add the missing */"],
    UnexpectedEndOfString: ["unclosed string", 'a closing "', 'add the missing "'],
    UnexpectedEndOfNumber: ["incomplete number", "a digit", "complete the number"],
    InvalidUnicode: ["malformed \\u escape", "four hexadecimal digits", "write the escape as \\u00e9"],
    InvalidEscapeCharacter: [
        "unknown escape sequence",
        "a JSON escape sequence",
        "write a backslash as \\\\",
    ],
    InvalidCharacter: [
        "control character in a string",
        "printable characters",
        "write it as an escape sequence",
    ],
};

export function describeSyntaxError(text: string, err: ParseError): Finding {
    const name = printParseErrorCode(err.error);
    const known = descriptions[name] ?? ["malformed text", "JSON with comments", "correct the syntax"];
    const [message, expected, fix] = isExtraComma(text, err)
        ? ["extra comma", "one comma between two items", "remove the comma"]
        : known;
    return { code: ProblemCode.Syntax, message, expected, fix };
}

/** Returns whether the parser recovers from the error, so that the rest of the document can be checked. */
export function isRecoverableError(err: ParseError): boolean {
    const name = printParseErrorCode(err.error);
    return name === "CommaExpected" || name === "ValueExpected" || name === "PropertyNameExpected";
}

function isExtraComma(text: string, err: ParseError): boolean {
    const name = printParseErrorCode(err.error);
    return (name === "ValueExpected" || name === "PropertyNameExpected") && text[err.offset] === ",";
}
