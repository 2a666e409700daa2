#ifndef QUETZALQUAY_CORE_REFCOUNTED_H_INCLUDED
#define QUETZALQUAY_CORE_REFCOUNTED_H_INCLUDED

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace quetzalquay {

// Base class of objects with an intrusive, thread-safe reference count.
template<typename T>
using RefCounted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

// Smart pointer that owns one reference.
template<typename T>
using RefPtr = boost::intrusive_ptr<T>;

// Creates a reference-counted object.
template<typename T, typename... Args>
RefPtr<T>
MakeRef(Args&&... aArgs)
{
  return RefPtr<T>(new T(std::forward<Args>(aArgs)...));
}

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_REFCOUNTED_H_INCLUDED
