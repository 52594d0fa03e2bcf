/** INI settings files of both binaries, validated completely before a process starts. */
package org.shallothook.transport.settings;
