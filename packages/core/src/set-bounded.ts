/** Sets an entry as the latest one of a map, and drops the oldest if there are more than `maxSize`. */
export function setBounded<Key, Value>(map: Map<Key, Value>, key: Key, value: Value, maxSize: number): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > maxSize) {
        const [oldest] = map.keys();
        map.delete(oldest!);
    }
}
