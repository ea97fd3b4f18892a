/** A difference between two manifests. */

export enum ChangeKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** What a change does to the traffic. */
export enum ChangeEffect {
    /** Less traffic is carried than before; callers may be refused. */
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
    /** Place in the manifest; items of a list are named, such as services[register].sites[north-a].servers. */
    path: string;
    before: unknown;
    after: unknown;
    effect: ChangeEffect;
    /** The effect in words. */
    description: string;
}
