/** Typed tokens of the dependency container. */
// tsyringe requires this polyfill at load time, so it must be imported first.
import "reflect-metadata";
import { instanceCachingFactory } from "tsyringe";
import type { DependencyContainer } from "tsyringe";

/** Identifies a component in the container. */
export interface Token<T> {
    symbol: symbol;
    /** Phantom field that carries the type; never set. */
    type?: T;
}

/** Creates a token; `name` is used for debugging only. */
export function createToken<T>(name: string): Token<T> {
    return { symbol: Symbol(name) };
}

/** Returns the singleton of a component, which is created on first use. */
export type Resolve = <T>(token: Token<T>) => T;

/** Registers the factory of a component. */
export function register<T>(
    container: DependencyContainer,
    token: Token<T>,
    create: (resolve: Resolve) => T,
): void {
    const factory = instanceCachingFactory(scope => create(memoizeResolve(scope)));
    container.register(token.symbol, { useFactory: factory });
}

/** Components resolve others on every request, and a lookup in the container costs as much as a balancing decision. */
function memoizeResolve(container: DependencyContainer): Resolve {
    const cache = new Map<symbol, unknown>();
    return <T>(token: Token<T>): T => {
        if (!cache.has(token.symbol)) {
            cache.set(token.symbol, resolveToken(container, token));
        }
        return cache.get(token.symbol) as T;
    };
}

/** Returns the singleton of a component. */
export function resolveToken<T>(container: DependencyContainer, token: Token<T>): T {
    return container.resolve<T>(token.symbol);
}
