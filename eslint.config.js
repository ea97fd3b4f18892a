import js from "@eslint/js";
import tseslint from "typescript-eslint";

const nullRule = { selector: "Literal[raw='null']", message: "Use undefined instead of null." };
const platformMessage = "Names of the users' platform are decoded in platform/; use the project's names.";
const platformNames =
    "/^(cold-remaining-s|cold-per-s|heartbeat-s|path-prefix|allowed-regions|session-affinity|expect-instance|affinity-key|server-stamp|server-load|server-limit|server-leaving|not-executed|deadline-ms|delete-requested|wait-ms)$/i";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    js.configs.recommended,
    {
        files: ["**/*.ts"],
        extends: [...tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "prefer-const": "error",
            "no-var": "error",
            // The TypeScript team's guidelines use undefined and never null.
            "no-restricted-syntax": ["error", nullRule],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
        },
    },
    {
        files: ["packages/**/*.ts"],
        rules: {
            "no-restricted-syntax": [
                "error",
                nullRule,
                { selector: `Literal[value=${platformNames}]`, message: platformMessage },
                { selector: `TemplateElement[value.raw=${platformNames}]`, message: platformMessage },
            ],
        },
    },
    {
        files: ["packages/**/*.ts"],
        ignores: ["packages/gateway/**"],
        rules: { "no-restricted-imports": ["error", { paths: ["@waxwingdale/platform"] }] },
    },
    {
        files: ["**/test/**/*.ts"],
        rules: {
            // node:test returns promises from test() that the runner awaits itself.
            "@typescript-eslint/no-floating-promises": "off",
        },
    },
    {
        files: ["**/*.mjs", "**/*.js"],
        languageOptions: { globals: { process: "readonly", console: "readonly", URL: "readonly" } },
    },
);
