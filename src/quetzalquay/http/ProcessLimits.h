#ifndef QUETZALQUAY_HTTP_PROCESSLIMITS_H_INCLUDED
#define QUETZALQUAY_HTTP_PROCESSLIMITS_H_INCLUDED

#include <cstddef>

namespace quetzalquay {

// Bytes of memory that the process may use: what its settings grant it, or less
// where its resource limits, its control group or the machine have less. Who
// enforces the grant need not have told the system of it. aGrantedMb is in MB,
// 0 if the settings grant nothing in particular.
std::size_t
UsableMemory(int aGrantedMb);

// Descriptors that the process may open: what its settings grant it, 0 if
// nothing in particular, or less where the system allows less. Raises the soft
// limit of the process as far as needed and allowed.
int
ObtainDescriptors(int aGranted);

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_PROCESSLIMITS_H_INCLUDED
