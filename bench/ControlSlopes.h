#pragma once

namespace amaranthgap {

/** Prints bytes, messages, processor time and memory that membership and
 * manifest cost a node, for fleets of several sizes in one process with a
 * virtual clock.
 * @return the exit status. */
int
RunControlSlopes(int argc, char** argv);

} // namespace amaranthgap
