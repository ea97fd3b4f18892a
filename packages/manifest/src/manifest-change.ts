/** A difference between two manifests. */

import { ChangeKind } from "@waxwingdale/core";

export { ChangeKind };

/** How a change affects traffic. */
export enum ChangeEffect {
    /** Less traffic is served than before; requests may be rejected. */
    CapacityLowered = "capacity-lowered",
    CapacityRaised = "capacity-raised",
    PlaceAdded = "place-added",
    PlaceRemoved = "place-removed",
    PlaceChanged = "place-changed",
    ServiceAdded = "service-added",
    ServiceRemoved = "service-removed",
    RouteChanged = "route-changed",
    DrainAdded = "drain-added",
    DrainRemoved = "drain-removed",
    DrainChanged = "drain-changed",
    ShiftCapLowered = "shift-cap-lowered",
    ShiftCapRaised = "shift-cap-raised",
    LinkChanged = "link-changed",
    ClientsMoved = "clients-moved",
    LimitChanged = "limit-changed",
    DeploymentChanged = "deployment-changed",
}

export interface ManifestChange {
    kind: ChangeKind;
    /** Path in the manifest; array items are identified by name, such as services[register].sites[north-a].servers. */
    path: string;
    before: unknown;
    after: unknown;
    effect: ChangeEffect;
    /** Human-readable description of the effect. */
    description: string;
}
