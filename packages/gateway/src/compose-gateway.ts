/** Composition root of a gateway instance: registers its components and wires their dependencies. */
import { createEventLoopMonitor, register } from "@waxwingdale/core";
import { container } from "tsyringe";
import type { DependencyContainer } from "tsyringe";
import { createGatewayMetrics } from "./gateway-metrics.js";
import { tokens } from "./gateway-tokens.js";
import type { GatewayContext, RegisterComponent } from "./gateway-tokens.js";
import { composePeers } from "./compose-peers.js";
import { composeState } from "./compose-state.js";
import { composeBalancing } from "./compose-balancing.js";
import { composeRelay } from "./compose-relay.js";

/** Interval in milliseconds at which the balancer adapts and the delay of the event loop is measured. */
export const adaptIntervalMs = 100;

/** Creates the dependency container of an instance. Nothing is started yet. */
export function composeGateway(context: GatewayContext): DependencyContainer {
    const scope = container.createChildContainer();
    const add: RegisterComponent = (token, create) => register(scope, token, create);
    add(tokens.context, () => context);
    add(tokens.metrics, () => createGatewayMetrics());
    add(tokens.eventLoop, get => createEventLoopMonitor(get(tokens.context).clock, adaptIntervalMs));
    composePeers(add);
    composeState(add);
    composeBalancing(add);
    composeRelay(add);
    return scope;
}
