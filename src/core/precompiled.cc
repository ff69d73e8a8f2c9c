// The source file of the target that owns the precompiled header.
