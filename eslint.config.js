import js from "@eslint/js";
import tseslint from "typescript-eslint";

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
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
            ],
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
