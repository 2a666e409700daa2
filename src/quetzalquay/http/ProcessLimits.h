#ifndef QUETZALQUAY_HTTP_PROCESSLIMITS_H_INCLUDED
#define QUETZALQUAY_HTTP_PROCESSLIMITS_H_INCLUDED

#include <cstddef>

namespace quetzalquay {

// Bytes of memory that the process may use: what its settings grant it, or less
// where its resource limits, its control group or the machine have less. Who
// enforces the grant need not have told the system of it. aGrantedMb is in MB, 0
// if the settings grant nothing in particular.
std::size_t
UsableMemory(int aGrantedMb);

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_PROCESSLIMITS_H_INCLUDED
