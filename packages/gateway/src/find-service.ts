/** Finds a service in the current configuration. */
import type { Service } from "@waxwingdale/balancing";
import type { TrafficDocument } from "./traffic-document.js";

export function findService(config: TrafficDocument, name: string): Service | undefined {
    return config.current()?.services.find(service => service.name === name);
}
