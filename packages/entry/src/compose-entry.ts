/** Dependency injection container of an entry. */
// tsyringe requires the polyfill when it is loaded, so this import comes first.
import "reflect-metadata";
import { container } from "tsyringe";
import type { DependencyContainer } from "tsyringe";
import { composeCarrier, composeTrace } from "./compose-carrier.js";
import { composeConfig } from "./compose-config.js";
import { composeLimits } from "./compose-limits.js";
import { composeSteering } from "./compose-steering.js";
import { composeTransport } from "./compose-transport.js";
import { tokens } from "./entry-tokens.js";
import type { RegisterComponent, EntryContext } from "./entry-tokens.js";
import { register } from "@waxwingdale/core";

/** Creates the container. Components are created when they are first resolved. */
export function composeEntry(context: EntryContext): DependencyContainer {
    const scope = container.createChildContainer();
    const add: RegisterComponent = (token, create) => register(scope, token, create);
    add(tokens.context, () => context);
    composeTransport(add);
    composeConfig(add);
    composeLimits(add);
    composeSteering(add);
    composeTrace(add);
    composeCarrier(add);
    return scope;
}
