#ifndef GOLDCRESTHATCH_TAB_H
#define GOLDCRESTHATCH_TAB_H

/*
 * NAME
 *   tab - table of objects under handles whose generation is checked
 *
 * DESCRIPTION
 *   A handle is a 64-bit number: a slot and the generation of its use.  A
 *   handle kept after its object was removed finds nothing, even when the slot
 *   is in use again.  Objects are pointers that the table doesn't own.  Pure;
 *   the caller's lock guards a table used by several threads.
 */

#include <stddef.h>
#include <stdint.h>

struct tab;

/* Returns an empty table for at most CAPACITY objects; memory grows with the
   largest number of objects held.  */
struct tab *tab_new (uint32_t capacity);
void tab_free (struct tab *tab);

/* Adds OBJECT, which isn't null.  Returns its handle, which is never 0, or 0
   when the table is full.  */
uint64_t tab_add (struct tab *tab, void *object);

/* Returns the object under HANDLE, or null when it was removed.  */
void *tab_get (const struct tab *tab, uint64_t handle);

/* Removes and returns the object under HANDLE, or null when it was removed
   before.  */
void *tab_remove (struct tab *tab, uint64_t handle);

/* Returns the number of objects.  */
uint32_t tab_count (const struct tab *tab);

/* Returns the handle of the first object in a slot after that of HANDLE, or
   after none when HANDLE is 0; returns 0 at the end.  Objects may be removed
   during such a walk; one added may or may not be met.  */
uint64_t tab_next (const struct tab *tab, uint64_t handle);

#endif
